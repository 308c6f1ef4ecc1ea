package endpoint

import "time"

// limit is what is known about the number of requests that an endpoint takes from all routers together.
type limit struct {
	rate       float64   // Requests per second; zero if the endpoint names no limit.
	observedAt time.Time // Time of the latest answer that is known of.
}

// updateLimit records what an answer said about an endpoint's limit, unless a later answer is known.
func (p *Pool) updateLimit(ev LimitReported) []Action {
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
	return []Action{LimitChanged{Endpoint: b.Name, Before: before, Now: ev.Rate}}
}
