package endpoint

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the limits that endpoints name.
const (
	limitBurst   = 100 * time.Millisecond // Time for which a router may save up its share of a limit, if that is more than one request.
	minSenders   = 4                      // Routers that share the lowest limit.
	sendersPerHz = 2                      // Further routers for each request per second, so that each sends at most every other second.

	limitTTL       = time.Minute      // A limit that no answer has confirmed for this long is tried with one request at a time.
	limitRetention = 30 * time.Second // How long other routers are told that an endpoint no longer names a limit.
)

// limit is what is known about the number of requests that an endpoint takes from all routers together.
//
// The routers that send to the endpoint while it names a limit are chosen by
// rendezvous hashing, so that they need not agree on more than who they are.
// Each of them takes an equal share from a token bucket that begins empty.
type limit struct {
	rate       float64   // Requests per second; zero if the endpoint names no limit.
	observedAt time.Time // Time of the latest answer that is known of; zero if there is none.
	endedAt    time.Time // When the endpoint was last found to name no limit any more.
	share      float64   // Requests per second that this router may send.
	tokens     float64   // Requests that this router might send at refilledAt.
	refilledAt time.Time
}

// active reports whether the endpoint names a limit.
func (l *limit) active() bool { return l.rate > 0 }

// unconfirmed reports whether the limit may have ended without an answer that said so.
func (l *limit) unconfirmed(now time.Time) bool {
	interval := time.Duration(float64(senderCount(l.rate)) / l.rate * float64(time.Second))
	return now.Sub(l.observedAt) > max(limitTTL, 2*interval)
}

// capacity returns the largest number of requests that this router may save up.
func (l *limit) capacity() float64 { return max(1, l.share*limitBurst.Seconds()) }

// available returns the number of requests that this router may send at a time.
func (l *limit) available(now time.Time) float64 {
	elapsed := max(0, now.Sub(l.refilledAt).Seconds())
	return min(l.capacity(), l.tokens+elapsed*l.share)
}

// noRoom is the wait for a request for which a limit leaves this router no room at all, longer than any deadline.
const noRoom = 24 * time.Hour

// waitFor returns the time until this router may have sent n requests.
func (l *limit) waitFor(now time.Time, n int) time.Duration {
	missing := float64(n) - l.available(now)
	switch {
	case missing <= 0:
		return 0
	case l.share == 0:
		return noRoom
	}
	return seconds(min(noRoom.Seconds(), missing/l.share))
}

// setShare changes the share from now on.
func (l *limit) setShare(now time.Time, share float64) {
	l.tokens = l.available(now)
	if share == 0 {
		l.tokens = 0
	}
	l.refilledAt = now
	l.share = share
}

// take uses one of the requests that this router may send, and reports whether there was one.
func (l *limit) take(now time.Time) (taken bool) {
	if !l.active() {
		return false
	}
	available := l.available(now)
	l.tokens = max(0, available-1)
	l.refilledAt = now
	return available >= 1
}

// giveBack returns a request that was taken and not sent.
func (l *limit) giveBack(now time.Time) {
	l.tokens = min(l.capacity(), l.available(now)+1)
	l.refilledAt = now
}

// senderCount returns the number of routers that share a limit, if there are so many.
//
// Each of them may have saved up a request when the others have as well, so their number is bounded by the limit.
func senderCount(rate float64) int { return minSenders + int(min(sendersPerHz*rate, math.MaxInt16)) }

// withinLimit reports whether this router may send the endpoint one more request.
func (b *backend) withinLimit(now time.Time) bool {
	if !b.limit.active() {
		return true
	}
	if b.limit.unconfirmed(now) {
		return len(b.running) == 0
	}
	return b.limit.available(now) >= 1
}

// updateLimit records what an answer said about an endpoint's limit, unless a later answer is known.
func (p *Pool) updateLimit(now time.Time, ev LimitReported) []Action {
	b, ok := p.backends[ev.Endpoint]
	if !ok || ev.At.Before(b.limit.observedAt) {
		return nil
	}
	before := b.limit.rate
	b.limit.rate = ev.Rate
	b.limit.observedAt = ev.At
	if ev.Rate == before {
		return nil
	}
	if ev.Rate == 0 {
		b.limit.endedAt = now
	}
	b.limit.setShare(now, p.shareOf(b))
	changed := LimitChanged{Endpoint: b.Name, Before: before, Now: ev.Rate, Share: b.limit.share}
	return append([]Action{changed}, p.dispatch(now)...)
}

// listRouters records the routers that send to the same endpoints, and changes the shares of the limits accordingly.
func (p *Pool) listRouters(now time.Time, ev RoutersListed) []Action {
	if p.self == ev.Self && slices.Equal(p.routers, ev.Routers) {
		return nil
	}
	p.self = ev.Self
	p.routers = ev.Routers
	for _, b := range p.ordered {
		if b.limit.active() {
			b.limit.setShare(now, p.shareOf(b))
		}
		if b.brittle.active() {
			p.shareBrittle(b)
		}
	}
	return p.dispatch(now)
}

// shareOf returns the requests per second that this router may send to an endpoint with a limit.
func (p *Pool) shareOf(b *backend) float64 {
	if !b.limit.active() {
		return 0
	}
	if len(p.routers) <= 1 {
		return b.limit.rate
	}
	senders := min(senderCount(b.limit.rate), len(p.routers))
	if p.rankAt(b) >= senders {
		return 0
	}
	return b.limit.rate / float64(senders)
}

// rankAt returns the number of listed routers that come before this one at an endpoint, in the order of rendezvous hashing.
func (p *Pool) rankAt(b *backend) int {
	score := func(router string) uint64 { return hashPair(xxhash.Sum64String(router), b.hash) }
	own := score(p.self)
	rank := 0
	for _, router := range p.routers {
		if other := score(router); other > own || other == own && router < p.self {
			rank++
		}
	}
	return rank
}

// LimitReports returns the limits to tell other routers, also those that have ended lately.
func (p *Pool) LimitReports(now time.Time) []LimitReported {
	var reports []LimitReported
	for _, b := range p.ordered {
		l := &b.limit
		if l.active() || l.endedAt.After(now.Add(-limitRetention)) {
			reports = append(reports, LimitReported{Endpoint: b.Name, Rate: l.rate, At: l.observedAt})
		}
	}
	return reports
}
