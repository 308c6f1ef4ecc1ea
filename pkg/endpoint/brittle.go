package endpoint

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of brittle endpoints.
const (
	brittleSettling = 500 * time.Millisecond // An attempt that was not rejected for this long was accepted.
	brittleTurn     = 500 * time.Millisecond // Period for which the routers that may use free slots are drawn.
	turnReserve     = 2                      // Inverse of the share of the free slots that is used in one period.

	freedRetention     = 200 * time.Millisecond // Time for which a router may use a slot that one of its requests has left.
	slotReserve        = 8                      // Inverse of the share of the slots that is left to the routers that use slots again.
	unknownLoadReserve = 4                      // Inverse of the share of the bearable rejections that is risked in turns without a load.
	quotaReserve       = 4                      // Inverse of the share of the bearable rejections that is left to turns.
	maxLoadAge         = 2 * time.Second        // A load that is older says nothing.

	rejectionPause = time.Second      // Time without turns after a rejection at another router.
	minBrittleRest = time.Second      // Shortest rest of a router after a rejection; no shorter than the period of bearable rejections.
	maxBrittleRest = 30 * time.Second // Longest rest of a router after a rejection.
	restFactor     = 2                // Rests are so long that all routers together bring half of the bearable rejections.

	brittleTTL       = time.Minute      // An endpoint that no answer has confirmed as brittle for this long is taken to be sound.
	brittleRetention = 30 * time.Second // How long other routers are told that an endpoint is no longer brittle.
	overloadMemory   = 3 * time.Second  // Time after a rejection in which the death of a brittle endpoint is put down to overload.
)

// brittle is what is known about an endpoint that crashes when it rejects too many requests.
//
// A router sends such an endpoint a request for one of three reasons, and only
// while a slot is estimated to be free:
//
//   - The router has a quota of the rejections that the endpoint bears. Requests
//     that may still be rejected count against it, so the quotas of all routers
//     together cannot bring the endpoint down.
//   - A request of this router has just left a slot there.
//   - It is the router's turn to use a part of the free slots. All routers
//     together are expected to use no more than half of them in one period.
type brittle struct {
	tolerated  int       // Rejections within a second that the endpoint bears; zero if it is not brittle.
	observedAt time.Time // Time of the latest answer that is known of; zero if there is none.
	since      time.Time // When the endpoint became known as brittle.
	presumed   bool      // Whether only other endpoints have been found to be brittle.
	endedAt    time.Time // When it was last found not to be brittle any more.

	quota   int    // This router's part of tolerated.
	routers int    // Routers that share the endpoint.
	seed    uint64 // Of the router's turns at this endpoint.

	rejectedAt time.Time   // Latest rejection by the endpoint that is known of, at any router.
	rejections []time.Time // This router's rejections within maxBrittleRest, oldest first.
	restsUntil time.Time   // End of the time without turns after a rejection.

	load   Load // Latest load that is known, also from other routers.
	loadAt time.Time

	freed      []time.Time // When requests of this router left slots that it has not used again, oldest first.
	turn       int64       // Period of the last turn.
	turnsTaken int         // Turns that were used in that period.
}

func (s *brittle) active() bool { return s.tolerated > 0 }

// confirmedAt returns when the endpoint was last known or presumed to be brittle.
func (s *brittle) confirmedAt() time.Time {
	if s.presumed {
		return s.since
	}
	return s.observedAt
}

// othersAt estimates the number of requests of other routers, given how many this one had when the load was reported.
func (s *brittle) othersAt(now time.Time, own int) float64 {
	age := now.Sub(s.loadAt)
	if s.loadAt.IsZero() || age > maxLoadAge {
		return 0
	}
	return float64(max(0, s.load.Running+s.load.Waiting-own))
}

// headroom estimates the number of free slots of a brittle endpoint.
func (b *backend) headroom(now time.Time) float64 {
	ownAtReport := len(b.running) - b.netChangeSince(b.brittle.loadAt)
	return float64(b.Slots) - float64(len(b.running)) - b.brittle.othersAt(now, ownAtReport)
}

// reserve returns the number of slots that only routers use whose requests have left some.
func (b *backend) reserve() int {
	if b.brittle.routers <= 1 {
		return 0
	}
	return (b.Slots + slotReserve - 1) / slotReserve
}

// unsettled returns the number of this router's attempts that the endpoint may still reject.
func (b *backend) unsettled(now time.Time) int {
	n := 0
	for _, j := range b.running {
		if j.firstTokenAt.IsZero() && now.Sub(j.sentAt) < brittleSettling {
			n++
		}
	}
	return n
}

// brittleReason says why a request may be sent to a brittle endpoint.
type brittleReason uint8

const (
	noReason brittleReason = iota
	withinQuota
	slotFreed
	hasTurn
)

// reasonToSend returns the reason for which a brittle endpoint may get a request now.
func (b *backend) reasonToSend(now time.Time) brittleReason {
	s := &b.brittle
	free := b.headroom(now)
	switch {
	case free < 1:
		return noReason
	case recentTimes(s.freed, now, freedRetention) > 0:
		return slotFreed
	case free < 1+float64(b.reserve()):
		return noReason
	case b.unsettled(now)+recentTimes(s.rejections, now, s.rest()) < s.quota:
		return withinQuota
	case s.paused(now):
		return noReason
	case s.usedTurns(turnOf(now)) < s.turns(turnOf(now), s.usable(now, free)):
		return hasTurn
	}
	return noReason
}

// withinBrittle reports whether an endpoint is sound enough for one more request of this router.
func (b *backend) withinBrittle(now time.Time) bool {
	return !b.brittle.active() || b.reasonToSend(now) != noReason
}

// takeBrittle uses up the reason for which a request is sent.
func (b *backend) takeBrittle(now time.Time) {
	s := &b.brittle
	if !s.active() {
		return
	}
	switch b.reasonToSend(now) {
	case slotFreed:
		s.freed = s.freed[:len(s.freed)-1]
	case hasTurn:
		s.turnsTaken = s.usedTurns(turnOf(now)) + 1
		s.turn = turnOf(now)
	}
}

// recentTimes returns how many of the times, oldest first, are within a period before now.
func recentTimes(times []time.Time, now time.Time, period time.Duration) int {
	n := 0
	for i := len(times) - 1; i >= 0 && now.Sub(times[i]) < period; i-- {
		n++
	}
	return n
}

// addTime appends now to times, without those that are not within a period before it.
func addTime(times []time.Time, now time.Time, period time.Duration) []time.Time {
	return append(slices.Clone(times[len(times)-recentTimes(times, now, period):]), now)
}

func turnOf(now time.Time) int64 { return now.UnixNano() / int64(brittleTurn) }

func (s *brittle) usedTurns(turn int64) int {
	if s.turn != turn {
		return 0
	}
	return s.turnsTaken
}

// paused reports whether turns pause after a rejection.
func (s *brittle) paused(now time.Time) bool {
	return now.Before(s.restsUntil) || now.Sub(s.rejectedAt) < rejectionPause
}

// usable returns the slots to use in turns, given the estimate of the free ones.
//
// Without a recent load, no more requests are risked than the endpoint may reject.
func (s *brittle) usable(now time.Time, free float64) float64 {
	if s.loadAt.IsZero() || now.Sub(s.loadAt) > maxLoadAge {
		return min(free, float64(s.tolerated)/unknownLoadReserve)
	}
	age := max(brittleTurn, now.Sub(s.loadAt))
	return free * brittleTurn.Seconds() / age.Seconds()
}

// turns returns how many requests this router may send in a period.
//
// If there are fewer slots than routers, a pseudorandom share of the routers may send one.
func (s *brittle) turns(turn int64, usable float64) int {
	whole, part := math.Modf(max(0, usable) / float64(turnReserve*max(1, s.routers)))
	const bits = 53 // Of the fraction of a float64.
	draw := float64(hashPair(s.seed, uint64(turn))>>(64-bits)) / (1 << bits)
	if draw < part {
		whole++
	}
	return int(whole)
}

// brittleWait estimates the time until this router may send the endpoint a request; it is zero if the endpoint is sound.
// A wait of atMost or more is not told apart from atMost.
func (b *backend) brittleWait(now time.Time, atMost time.Duration) time.Duration {
	s := &b.brittle
	if !s.active() || s.quota > 0 || len(b.running) > 0 || b.reasonToSend(now) != noReason {
		return 0
	}
	first := now
	for _, until := range []time.Time{s.restsUntil, s.rejectedAt.Add(rejectionPause)} {
		if until.After(first) {
			first = until
		}
	}
	usable := s.usable(now, max(1, b.headroom(now)))
	for turn := turnOf(first); ; turn++ {
		wait := max(0, first.Sub(now), time.Unix(0, turn*int64(brittleTurn)).Sub(now))
		if wait >= atMost || s.turns(turn, usable) > s.usedTurns(turn) {
			return min(wait, atMost)
		}
	}
}

// updateBrittle records what an answer said about whether an endpoint is brittle, unless a later answer is known.
//
// An answer from before the endpoint was configured is that of an earlier process of the same name.
func (p *Pool) updateBrittle(now time.Time, ev BrittleReported) []Action {
	b, ok := p.backends[ev.Endpoint]
	if !ok || ev.At.Before(b.addedAt) {
		return nil
	}
	s := &b.brittle
	if ev.RejectedAt.After(s.rejectedAt) {
		s.rejectedAt = ev.RejectedAt
	}
	if ev.LoadAt.After(s.loadAt) {
		s.load = ev.Load
		s.loadAt = ev.LoadAt
	}
	if ev.At.Before(s.observedAt) {
		return nil
	}
	s.observedAt = ev.At
	s.presumed = false
	if ev.Tolerated == s.tolerated {
		return nil
	}
	begins := !s.active()
	actions := p.changeBrittle(now, b, ev.Tolerated)
	if begins {
		actions = append(actions, p.presumeOthers(now, b)...)
	}
	return append(actions, p.dispatch(now)...)
}

// changeBrittle sets the number of rejections that an endpoint bears.
func (p *Pool) changeBrittle(now time.Time, b *backend, tolerated int) []Action {
	s := &b.brittle
	before := s.tolerated
	s.tolerated = tolerated
	switch {
	case before == 0:
		s.since = now
	case tolerated == 0:
		s.endedAt = now
		s.freed = nil
		s.presumed = false
	}
	p.shareBrittle(b)
	return []Action{BrittleChanged{Endpoint: b.Name, Before: before, Now: tolerated, Share: s.quota, Age: now.Sub(s.since), Presumed: s.presumed}}
}

// presumeOthers takes the endpoints of the same models or services as one that has become brittle to be so as well, unless
// a later answer of theirs is known. Their answers to all routers would else have to spread first.
func (p *Pool) presumeOthers(now time.Time, brittle *backend) []Action {
	var actions []Action
	for _, b := range p.ordered {
		if b.brittle.active() || !b.servesAnyOf(brittle) || b.brittle.observedAt.After(brittle.brittle.observedAt) {
			continue
		}
		b.brittle.presumed = true
		actions = append(actions, p.changeBrittle(now, b, brittle.brittle.tolerated)...)
	}
	return actions
}

// presumeNew takes a new endpoint to be as brittle as those of the same models or services, until an answer says what it is.
// One that crashed and starts again would else get a request of each router at once.
func (p *Pool) presumeNew(now time.Time, b *backend) {
	s := &b.brittle
	for _, other := range p.ordered {
		if other.brittle.active() && b.servesAnyOf(other) && (!s.active() || other.brittle.tolerated < s.tolerated) {
			s.tolerated = other.brittle.tolerated
		}
	}
	if s.active() {
		s.presumed = true
		s.since = now
		p.shareBrittle(b)
	}
}

func (b *backend) servesAnyOf(other *backend) bool {
	return slices.ContainsFunc(b.Serves, other.serves)
}

// expireBrittle ends the brittleness that no answer has confirmed for long.
func (p *Pool) expireBrittle(now time.Time) []Action {
	var actions []Action
	for _, b := range p.ordered {
		if b.brittle.active() && now.Sub(b.brittle.confirmedAt()) > brittleTTL {
			actions = append(actions, p.changeBrittle(now, b, 0)...)
		}
	}
	return actions
}

// shareBrittle divides the rejections that an endpoint bears among the routers.
//
// What is left over after equal parts goes to routers that are chosen by rendezvous hashing.
func (p *Pool) shareBrittle(b *backend) {
	s := &b.brittle
	s.routers = max(1, len(p.routers), p.peers+1)
	s.seed = hashPair(xxhash.Sum64String(p.self), b.hash)
	shared := s.tolerated
	if s.tolerated > 1 && s.routers > 1 {
		shared -= (s.tolerated + quotaReserve - 1) / quotaReserve
	}
	s.quota = shared / s.routers
	if len(p.routers) < s.routers {
		return
	}
	if p.rankAt(b) < shared%s.routers {
		s.quota++
	}
}

// recordRejection records that an endpoint had no room for a request of this router.
func (p *Pool) recordRejection(now time.Time, name string) {
	b, ok := p.backends[name]
	if !ok {
		return
	}
	s := &b.brittle
	s.rejectedAt = now
	s.rejections = addTime(s.rejections, now, maxBrittleRest)
	s.freed = nil
	if !s.active() {
		return
	}
	s.restsUntil = now.Add(s.rest())
}

// rest returns the time after a rejection in which this router risks no other one.
func (s *brittle) rest() time.Duration {
	rest := seconds(restFactor * float64(s.routers) / float64(max(1, s.tolerated)))
	return min(max(rest, minBrittleRest), maxBrittleRest)
}

// endBrittleAttempt records that an attempt at a brittle endpoint has ended.
func (b *backend) endBrittleAttempt(now time.Time, outcome Outcome) {
	s := &b.brittle
	if !s.active() {
		return
	}
	switch outcome {
	case Rejected:
		s.load.Running++ // The load in the answer did not include the rejected request, which no longer counts here either.
	case Finished, Incomplete:
		s.freed = addTime(s.freed, now, freedRetention)
	}
}

// overloaded reports whether the death of an endpoint is put down to the requests that it rejected.
//
// A brittle endpoint that is not known to have rejected requests dies of what it ran, like any other.
func (b *backend) overloaded(now time.Time) bool {
	return b.brittle.active() && now.Sub(b.brittle.rejectedAt) < overloadMemory
}

// BrittleReports returns the brittle endpoints to tell other routers, also those that have recovered lately.
func (p *Pool) BrittleReports(now time.Time) []BrittleReported {
	var reports []BrittleReported
	for _, b := range p.ordered {
		s := &b.brittle
		if s.presumed {
			continue
		}
		if s.active() || s.endedAt.After(now.Add(-brittleRetention)) {
			reports = append(reports, BrittleReported{
				Endpoint: b.Name, Tolerated: s.tolerated, At: s.observedAt, RejectedAt: s.rejectedAt, Load: s.load, LoadAt: s.loadAt})
		}
	}
	return reports
}
