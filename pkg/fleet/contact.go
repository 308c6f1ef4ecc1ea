package fleet

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Parameters of listed routers, losses and introductions.
const (
	introductionPeriod = 20 * time.Second // For which messages to a new incarnation carry introductions; longer than a registration outlives its router.
	freshContact       = 3 * time.Second  // Age of a message of a router up to which others are told that it is alive.
	lossWindow         = 30 * time.Second // In which losses count as those of one event; by then all routers have been told of each.
	minLosses          = 3                // Losses in a data centre below which it is not suspected as a whole.
	lossDivisor        = 8                // A data centre is not suspected below 1/lossDivisor of its routers lost.
	lossesPerContact   = 4                // A data centre is not suspected up to this many losses for each router there that had contact since.
	lossUpdates        = 6                // Updates about losses in a message, unless there are fewer other updates than room for them.
)

// Listed returns the routers that callers may be sent to, this one included, sorted by VM.
//
// A router is listed after a sign of life: a registration alone outlives its router by the time of its lease. If a large
// part of a data centre is lost at once, its other routers are listed again after their next sign of life, since it takes
// longer to be told of each loss than callers may be sent to a lost router.
func (r *Roster) Listed() []Member {
	r.init()
	suspected := r.suspectedDataCentres()
	members := []Member{r.Self}
	for _, p := range r.peersWhere((*peer).confirmed) {
		if since, ok := suspected[p.DataCentre]; !ok || p.contactAt.After(since) {
			members = append(members, p.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

// confirmed reports whether a VM is alive according to an update that its router itself has issued.
//
// Updates from registrations have no heartbeat, while a router increases its own in each period.
func (p *peer) confirmed() bool { return p.known && p.State == Alive && p.Heartbeat > 0 }

// lost reports whether a VM is suspected or dead.
func (p *peer) lost() bool { return p.known && p.State >= Suspected }

// losses describes the latest losses in one data centre.
type losses struct {
	routers   int       // Routers there before the first loss.
	lost      int       // Routers lost since then.
	contacted int       // Routers with a sign of life after the first loss.
	since     time.Time // Time of the first loss.
}

// suspected reports whether the whole data centre may be lost.
func (l losses) suspected() bool {
	return l.lost >= minLosses && lossDivisor*l.lost >= l.routers && l.lost > lossesPerContact*l.contacted
}

// suspectedDataCentres returns the data centres that may be lost as a whole, with the time of the first loss in each.
func (r *Roster) suspectedDataCentres() map[string]time.Time {
	suspected := map[string]time.Time{}
	for dataCentre, l := range r.recentLosses() {
		if l.suspected() {
			suspected[dataCentre] = l.since
		}
	}
	return suspected
}

// recentLosses returns the losses of each data centre in which a router was lost within lossWindow.
func (r *Roster) recentLosses() map[string]*losses {
	all := map[string]*losses{}
	for _, p := range r.peersWhere(r.recentlyLost) {
		l := all[p.DataCentre]
		if l == nil {
			l = &losses{since: p.lostAt}
			all[p.DataCentre] = l
		}
		l.lost++
		if p.lostAt.Before(l.since) {
			l.since = p.lostAt
		}
	}
	if len(all) == 0 {
		return nil
	}
	for _, p := range r.peersWhere(func(p *peer) bool { return p.known && (!p.lost() || r.recentlyLost(p)) }) {
		l := all[p.DataCentre]
		if l == nil {
			continue
		}
		l.routers++
		if !p.lost() && p.contactAt.After(l.since) {
			l.contacted++
		}
	}
	return all
}

// recentlyLost reports whether a VM was lost within lossWindow.
func (r *Roster) recentlyLost(p *peer) bool { return p.lost() && r.now.Sub(p.lostAt) < lossWindow }

// recordContact records a sign of life in an update that has been merged: a later incarnation or a refutation, which only the
// router itself issues.
func (p *peer) recordContact(now time.Time, before Member) {
	if p.State <= Draining && p.Heartbeat > 0 && (p.Incarnation != before.Incarnation || p.Refutations > before.Refutations) {
		p.contactAt = now
	}
}

// recordSenderContact records that a message has come from a router itself; the first update in a message is that of its sender.
func (r *Roster) recordSenderContact(now time.Time, updates []Member) {
	if len(updates) == 0 || updates[0].Heartbeat == 0 {
		return
	}
	if p, ok := r.peers[updates[0].VM]; ok && p.Incarnation == updates[0].Incarnation {
		p.contactAt = now
	}
}

// Updates returns the updates for the next message to a VM that is not known.
func (r *Roster) Updates() []Member { return r.UpdatesFor("") }

// UpdatesFor returns the updates for the next message to a VM, at most UpdatesPerMessage.
//
// They are this router's own state and pending updates about others; each call counts as a transmission. If the VM has a
// new incarnation, they are followed by introductions.
func (r *Roster) UpdatesFor(vm string) []Member {
	r.init()
	updates := []Member{r.Self}
	pending := r.pending()
	for _, p := range pending {
		p.transmits++
		updates = append(updates, p.Member)
	}
	if to, ok := r.peers[vm]; ok && to.known && r.now.Sub(to.startSeenAt) < introductionPeriod {
		updates = append(updates, r.introductions(to, pending, UpdatesPerMessage-len(updates))...)
	}
	return updates
}

// pending returns the peers about which the next message carries updates: the least transmitted ones, with losses first.
//
// A live router without a heartbeat is left out, since the others have read its registration as well.
func (r *Roster) pending() []*peer {
	limit := retransmitFactor * bits.Len(uint(len(r.peers)+1))
	all := r.peersWhere(func(p *peer) bool { return p.known && p.transmits < limit && (p.State != Alive || p.Heartbeat > 0) })
	r.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b *peer) int { return cmp.Compare(a.transmits, b.transmits) })
	lost, others := partition(all, (*peer).lost)
	room := UpdatesPerMessage - 1
	n := min(len(lost), max(lossUpdates, room-len(others)))
	return slices.Concat(lost[:n], others[:min(len(others), room-n)])
}

// partition splits a list into the peers for which belongs reports true and the others.
func partition(list []*peer, belongs func(*peer) bool) (in, out []*peer) {
	for _, p := range list {
		if belongs(p) {
			in = append(in, p)
		} else {
			out = append(out, p)
		}
	}
	return in, out
}

// introductions returns at most n updates that a new incarnation may have missed: routers that were lost lately, whose
// registrations it may have read, and routers of which this one has just had a sign of life.
func (r *Roster) introductions(to *peer, except []*peer, n int) []Member {
	wanted := func(p *peer) bool { return p != to && !slices.Contains(except, p) }
	lost := r.peersWhere(func(p *peer) bool { return wanted(p) && r.recentlyLost(p) })
	contacted := r.peersWhere(func(p *peer) bool { return wanted(p) && p.confirmed() && r.now.Sub(p.contactAt) < freshContact })
	var updates []Member
	for _, list := range [][]*peer{lost, contacted} {
		r.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		room := n - len(updates)
		if len(list) > 0 && len(updates) == 0 {
			room = (n + 1) / 2 // The other half is for the routers that are alive.
		}
		for _, p := range list[:min(len(list), max(0, room))] {
			updates = append(updates, p.Member)
		}
	}
	return updates
}
