package endpoint

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of cold endpoints.
const (
	coldSenderShare = 0.75  // Share of the bound that the senders use; the rest is left for routers that the others do not know of yet.
	coldProbeShare  = 0.125 // Share of the bound that the other routers use to contact an endpoint that may have restarted.

	minColdGap      = time.Second      // Shortest time between two requests of a router to a cold endpoint, so that a second has at most one of each sender.
	maxColdTime     = 30 * time.Second // Longest time for which a report may call an endpoint cold; others come from other writers.
	loneRouterDelay = 3 * time.Second  // Time after the start of a process in which it may not have read yet that there are other routers.
)

// ColdReported reports that an endpoint is cold from now on for some time. A shorter time than is known changes nothing.
type ColdReported struct {
	Endpoint string
	For      time.Duration
}

func (ColdReported) isEvent() {}

// ColdChanged tells that an endpoint is taken for cold from now on, or no longer.
type ColdChanged struct {
	Endpoint string
	Cold     bool
	Doubted  bool          // Whether it is taken for cold only because it failed and may have restarted.
	For      time.Duration // Time for which it stays cold, as far as is known.
	Interval time.Duration // Time between two requests of this router; zero if it may send none.
}

func (ColdChanged) isAction() {}

// doubt says why an endpoint may have restarted without its entry saying so yet.
type doubt uint8

const (
	noDoubt doubt = iota
	fellSilent
	broke // It died or refused connections.
)

// cold is what is known about an endpoint that tolerates few requests for some time after it has started.
//
// The routers that send to it meanwhile are chosen by rendezvous hashing among all that ever registered, dead or not,
// because one that does not answer may still send. Each of them has a token bucket that begins empty and holds one request.
type cold struct {
	until     time.Time // End of the time for which it is known or presumed to be cold.
	doubt     doubt     // Whether it is taken for cold until it answers, and then for its ColdFor.
	doubtedAt time.Time // Time of the last failure that gave rise to the doubt.
	beganAt   time.Time // When this router began to take it for cold, with its present share.
	sentAt    time.Time // Last request of this router.
	share     coldShare
	reported  bool // Whether the last ColdChanged said that it is cold.
}

// coldShare is what one router may send to a cold endpoint.
type coldShare struct {
	interval time.Duration // Time between two requests.
	phase    time.Duration // Delay of the first one, which spreads the routers over the interval.
	probe    bool          // Only while it is in doubt whether the endpoint has restarted.
}

// isCold reports whether the endpoint is taken for cold.
func (b *backend) isCold(now time.Time) bool {
	return b.ColdRate > 0 && (b.cold.doubt != noDoubt || now.Before(b.cold.until))
}

// coldReadyAt returns when this router may send the next request to a cold endpoint, and whether it may send any.
func (p *Pool) coldReadyAt(b *backend) (at time.Time, ok bool) {
	c := &b.cold
	if c.share.probe && c.doubt == noDoubt {
		return time.Time{}, false
	}
	at = c.beganAt.Add(minColdGap + c.share.phase)
	if len(p.registered.names) <= 1 {
		at = laterOf(at, p.startedAt.Add(loneRouterDelay))
	}
	if !c.sentAt.IsZero() {
		at = laterOf(at, c.sentAt.Add(c.share.interval))
	}
	return at, true
}

// withinCold reports whether the endpoint may get a request of this router now, as far as it is cold.
func (p *Pool) withinCold(now time.Time, b *backend) bool {
	if !b.isCold(now) {
		return true
	}
	at, ok := p.coldReadyAt(b)
	return ok && !now.Before(at)
}

// coldLimit returns the limit on this router's requests that corresponds to a cold endpoint, to estimate waits.
func (p *Pool) coldLimit(now time.Time, b *backend) limit {
	l := limit{rate: b.ColdRate, refilledAt: now}
	at, ok := p.coldReadyAt(b)
	if !ok {
		return l
	}
	l.share = 1 / b.cold.share.interval.Seconds()
	l.tokens = 1 - max(0, at.Sub(now).Seconds())*l.share
	return l
}

// reportCold records that an endpoint is cold.
func (p *Pool) reportCold(now time.Time, ev ColdReported) {
	if b, ok := p.backends[ev.Endpoint]; ok && ev.For > 0 {
		p.setCold(now, b, min(ev.For, max(maxColdTime, b.ColdFor)))
	}
}

// setCold takes an endpoint for cold for a time, unless a longer one is known.
func (p *Pool) setCold(now time.Time, b *backend, left time.Duration) {
	if b.ColdRate <= 0 {
		return
	}
	p.beginCold(now, b)
	if until := now.Add(left); until.After(b.cold.until) {
		b.cold.until = until
		b.beginPace(until)
	}
}

// beginCold empties this router's bucket if the endpoint was not taken for cold before.
func (p *Pool) beginCold(now time.Time, b *backend) {
	if !b.isCold(now) {
		p.shareCold(b)
		b.cold.beganAt = now
	}
}

// doubtCold records that an endpoint has failed, so that it may have restarted and be cold.
func (p *Pool) doubtCold(now time.Time, b *backend, d doubt) {
	if b.ColdRate <= 0 {
		return
	}
	p.beginCold(now, b)
	if b.cold.doubt == noDoubt && b.cold.share.probe {
		b.cold.beganAt = now
	}
	b.cold.doubt = max(b.cold.doubt, d)
	b.cold.doubtedAt = now
}

// contactCold records that an endpoint has answered a request that was sent at a time.
//
// An answer of a process that died may be read after its death, so that only a later request shows that there is a new one.
func (p *Pool) contactCold(now time.Time, b *backend, sentAt time.Time) {
	if b.cold.doubt == noDoubt || b.cold.doubt == broke && sentAt.Before(b.cold.doubtedAt) {
		return
	}
	p.setCold(now, b, b.ColdFor)
	b.cold.doubt = noDoubt
}

// observeEnd records what the end of an attempt says about whether its endpoint may have restarted or is overloaded.
func (p *Pool) observeEnd(now time.Time, j *job, outcome Outcome) {
	switch b := j.target; outcome {
	case Died, CutOff:
		p.doubtCold(now, b, broke)
		b.pace.troubles++
		b.beginPace(now.Add(p.Policy.BaseEjectionTime)) // Later if the endpoint is ejected for longer.
	case Silent:
		p.doubtCold(now, b, fellSilent)
	case Rejected:
		if !j.sent.settled { // Nothing was heard of the endpoint, so that no connection could be opened.
			p.doubtCold(now, b, fellSilent)
			b.beginPace(now.Add(p.Policy.BaseEjectionTime))
			return
		}
		p.rejectPace(now, b, j.sentAt)
	case Finished, Incomplete:
		p.contactCold(now, b, j.sentAt)
	}
}

// sendCold records that a request is sent to an endpoint.
func (b *backend) sendCold(now time.Time) {
	if b.ColdRate > 0 {
		b.cold.sentAt = now
	}
}

// configureCold takes up what the configuration and the entry of an endpoint say. One that is added later than the first
// ones has just started, whatever its entry says.
func (p *Pool) configureCold(now time.Time, b *backend, added bool) {
	if b.ColdRate <= 0 {
		return
	}
	p.shareCold(b)
	if left := min(b.ColdLeft, max(maxColdTime, b.ColdFor)); left > 0 {
		p.setCold(now, b, left)
	}
	if added && p.started {
		p.setCold(now, b, b.ColdFor)
	}
}

// coldBound returns the number of requests that a cold endpoint bears within a second.
func (p *Pool) coldBound(b *backend) float64 {
	return p.Policy.ColdExcess*b.ColdRate + p.Policy.ColdSlack
}

// shareCold sets what this router may send to an endpoint while it is cold.
func (p *Pool) shareCold(b *backend) {
	rank, routers := p.registeredRank(b)
	senders := min(max(1, int(coldSenderShare*p.coldBound(b))), routers)
	if rank < senders {
		b.cold.share = newColdShare(rank, senders, b.ColdRate)
		return
	}
	b.cold.share = newColdShare(rank-senders, routers-senders, coldProbeShare*p.coldBound(b))
	b.cold.share.probe = true
}

// newColdShare divides a rate equally among routers.
func newColdShare(rank, routers int, rate float64) coldShare {
	interval := max(minColdGap, seconds(min(float64(routers)/rate, noRoom.Seconds())))
	return coldShare{interval: interval, phase: interval * time.Duration(rank) / time.Duration(routers)}
}

// shareAllCold changes the shares of all endpoints that may be cold, after other routers have registered.
//
// A router that becomes a sender begins with an empty bucket, since another one may just have sent.
func (p *Pool) shareAllCold(now time.Time) {
	for _, name := range p.names {
		b := p.backends[name]
		if b.ColdRate <= 0 {
			continue
		}
		before := b.cold.share
		p.shareCold(b)
		if before.probe && !b.cold.share.probe {
			b.cold.beganAt = now
		}
	}
}

// updateColds returns what has changed about cold endpoints since the last call.
func (p *Pool) updateColds(now time.Time) []Action {
	var actions []Action
	for _, name := range p.names {
		b := p.backends[name]
		is := b.isCold(now)
		if is == b.cold.reported {
			continue
		}
		b.cold.reported = is
		changed := ColdChanged{Endpoint: name, Cold: is, Doubted: b.cold.doubt != noDoubt, For: max(0, b.cold.until.Sub(now))}
		if _, ok := p.coldReadyAt(b); ok {
			changed.Interval = b.cold.share.interval
		}
		actions = append(actions, changed)
	}
	return actions
}

// registeredRouters is the list of all routers that ever registered, with what ranks at endpoints need of it.
type registeredRouters struct {
	self   string
	names  []string // Sorted.
	hashes []uint64 // Of names.
	number int      // Increased with each change; tells whether a rank is out of date.
}

// registeredRank is the rank of this router at an endpoint among all that ever registered.
type registeredRank struct {
	rank   int
	number int // Of the list for which it was computed.
}

// registerRouters replaces the list of all routers that ever registered, and changes the shares of the cold endpoints accordingly.
func (p *Pool) registerRouters(now time.Time, ev RoutersRegistered) {
	if p.registered.self == ev.Self && slices.Equal(p.registered.names, ev.Routers) {
		return
	}
	list := registeredRouters{self: ev.Self, names: ev.Routers, number: p.registered.number + 1}
	for _, name := range ev.Routers {
		list.hashes = append(list.hashes, xxhash.Sum64String(name))
	}
	p.registered = list
	p.shareAllCold(now)
}

// registeredRank returns the number of registered routers that come before this one at an endpoint, in the order of rendezvous
// hashing, and the number of all. Ranks are kept, because pools with many endpoints and routers need them often.
func (p *Pool) registeredRank(b *backend) (rank, routers int) {
	list := &p.registered
	if len(list.names) <= 1 {
		return 0, 1
	}
	if b.rank.number != list.number {
		b.rank = registeredRank{number: list.number}
		own := hashPair(xxhash.Sum64String(list.self), b.hash)
		for i, hash := range list.hashes {
			if other := hashPair(hash, b.hash); other > own || other == own && list.names[i] < list.self {
				b.rank.rank++
			}
		}
	}
	return min(b.rank.rank, len(list.names)-1), len(list.names)
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
