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
	maxColdTime     = 30 * time.Second // Bound on the time that a report gives, since it may be malformed; a longer ColdFor of the service counts.
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
	Presumed bool          // Whether it is presumed cold because it failed and may have restarted.
	For      time.Duration // Time for which it stays cold, as far as is known.
	Interval time.Duration // Time between two requests of this router; zero if it may send none.
}

func (ColdChanged) isAction() {}

// coldPresumption says after which failure an endpoint is presumed cold: it may have restarted before its entry says so.
type coldPresumption uint8

const (
	notPresumed coldPresumption = iota
	afterSilence
	afterFailure // It died, refused connections or cut an answer off.
)

// cold is what is known about an endpoint that tolerates few requests for some time after it has started.
//
// The routers that send to it meanwhile are chosen by rendezvous hashing among all that ever registered, dead or not,
// because one that does not answer may still send. Each of them has a token bucket that begins empty and holds one request.
type cold struct {
	until    time.Time       // End of the time for which it is known to be cold.
	presumed coldPresumption // If set, it is taken for cold until it answers, and then for its ColdFor.
	failedAt time.Time       // Time of the last failure after which it was presumed cold.
	beganAt  time.Time       // When this router began to take it for cold, with its present share.
	sentAt   time.Time       // Last request of this router.
	share    coldShare
	reported bool // Whether the last ColdChanged said that it is cold.
}

// coldShare is what one router may send to a cold endpoint.
type coldShare struct {
	interval time.Duration // Time between two requests.
	phase    time.Duration // Delay of the first one, which spreads the routers over the interval.
	probe    bool          // Whether the router may send only while the endpoint is presumed cold, to learn whether it answers.
}

// isCold reports whether the endpoint is taken for cold.
func (b *backend) isCold(now time.Time) bool {
	return b.ColdRate > 0 && (b.cold.presumed != notPresumed || now.Before(b.cold.until))
}

// coldReadyAt returns when this router may send the next request to a cold endpoint, and whether it may send any.
func (p *Pool) coldReadyAt(b *backend) (at time.Time, ok bool) {
	c := &b.cold
	if c.share.probe && c.presumed == notPresumed {
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

// withinCold reports whether this router's share of a cold endpoint allows a request now; an endpoint that is not cold allows any.
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
		p.setColdShare(b)
		b.cold.beganAt = now
	}
}

// presumeCold records that an endpoint has failed, so that it may have restarted and be cold.
func (p *Pool) presumeCold(now time.Time, b *backend, after coldPresumption) {
	if b.ColdRate <= 0 {
		return
	}
	p.beginCold(now, b)
	if b.cold.presumed == notPresumed && b.cold.share.probe {
		b.cold.beganAt = now
	}
	b.cold.presumed = max(b.cold.presumed, after)
	b.cold.failedAt = now
}

// observeColdAnswer records that an endpoint has answered a request that was sent at a time.
//
// An answer of a process that died may be read after its death, so that only an answer to a later request shows that there is a
// new one.
func (p *Pool) observeColdAnswer(now time.Time, b *backend, sentAt time.Time) {
	if b.cold.presumed == notPresumed || b.cold.presumed == afterFailure && sentAt.Before(b.cold.failedAt) {
		return
	}
	p.setCold(now, b, b.ColdFor)
	b.cold.presumed = notPresumed
}

// observeEnd records what the end of an attempt says about whether its endpoint may have restarted or is overloaded.
func (p *Pool) observeEnd(now time.Time, j *job, outcome Outcome) {
	switch b := j.target; outcome {
	case Died, CutOff:
		p.presumeCold(now, b, afterFailure)
		b.pace.reductions++
		b.beginPace(now.Add(p.Policy.BaseEjectionTime)) // Later if the endpoint is ejected for longer.
	case Silent:
		p.presumeCold(now, b, afterSilence)
	case Rejected:
		if !j.sent.settled { // The endpoint has answered nothing since the request was sent, so that no connection could be opened.
			p.presumeCold(now, b, afterSilence)
			b.beginPace(now.Add(p.Policy.BaseEjectionTime))
			return
		}
		p.rejectPace(now, b, j.sentAt)
	case Finished, Incomplete:
		p.observeColdAnswer(now, b, j.sentAt)
	}
}

// recordColdSend records that this router sends a request to the endpoint, or reserves a place there for one.
func (b *backend) recordColdSend(now time.Time) {
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
	p.setColdShare(b)
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

// setColdShare sets what this router may send to an endpoint while it is cold.
func (p *Pool) setColdShare(b *backend) {
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

// updateColdShares changes the shares of all endpoints that may be cold, after other routers have registered.
//
// A router that becomes a sender begins with an empty bucket, since another one may just have sent.
func (p *Pool) updateColdShares(now time.Time) {
	for _, b := range p.ordered {
		if b.ColdRate <= 0 {
			continue
		}
		before := b.cold.share
		p.setColdShare(b)
		if before.probe && !b.cold.share.probe {
			b.cold.beganAt = now
		}
	}
}

// reportColdChanges returns a ColdChanged for each endpoint that has become cold, or is no longer cold, since the last call.
func (p *Pool) reportColdChanges(now time.Time) []Action {
	var actions []Action
	for _, b := range p.ordered {
		cold := b.isCold(now)
		if cold == b.cold.reported {
			continue
		}
		b.cold.reported = cold
		changed := ColdChanged{Endpoint: b.Name, Cold: cold, Presumed: b.cold.presumed != notPresumed, For: max(0, b.cold.until.Sub(now))}
		if _, ok := p.coldReadyAt(b); ok {
			changed.Interval = b.cold.share.interval
		}
		actions = append(actions, changed)
	}
	return actions
}

// registeredRouters is the list of all routers that ever registered, with what ranks at endpoints need of it.
type registeredRouters struct {
	self       string
	names      []string // Sorted.
	hashes     []uint64 // Of names.
	generation int      // Increased with each change; a rank of another generation is out of date.
}

// registeredRank is the rank of this router at an endpoint among all that ever registered.
type registeredRank struct {
	rank       int
	generation int // Of the list for which it was computed.
}

// registerRouters replaces the list of all routers that ever registered, and changes the shares of the cold endpoints accordingly.
func (p *Pool) registerRouters(now time.Time, ev RoutersRegistered) {
	if p.registered.self == ev.Self && slices.Equal(p.registered.names, ev.Routers) {
		return
	}
	list := registeredRouters{self: ev.Self, names: ev.Routers, generation: p.registered.generation + 1}
	for _, name := range ev.Routers {
		list.hashes = append(list.hashes, xxhash.Sum64String(name))
	}
	p.registered = list
	p.updateColdShares(now)
}

// registeredRank returns the number of registered routers that come before this one at an endpoint, in the order of rendezvous
// hashing, and the number of all. Ranks are kept, because pools with many endpoints and routers need them often.
func (p *Pool) registeredRank(b *backend) (rank, routers int) {
	list := &p.registered
	if len(list.names) <= 1 {
		return 0, 1
	}
	if b.rank.generation != list.generation {
		b.rank = registeredRank{generation: list.generation}
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
