package endpoint

import "time"

// sharedParts returns the parts of a prompt that other requests may share: all but the last one.
func sharedParts(prompt []Part) []Part {
	if len(prompt) == 0 {
		return nil
	}
	return prompt[:len(prompt)-1]
}

// recordCrash suspects the shared parts of a request that was in flight when an endpoint crashed.
//
// All requests that were in flight there report the same crash, which counts once for a part.
func (p *Pool) recordCrash(now time.Time, ev Crashed) []Action {
	if b, ok := p.backends[ev.Endpoint]; ok && b.overloaded(now) {
		return p.dispatch(now)
	}
	var actions []Action
	for _, part := range sharedParts(ev.Parts) {
		if p.parts.byID[part.ID].Endpoint == ev.Endpoint {
			continue
		}
		suspicion := Suspicion{Fingerprint: part.ID, Part: true, Endpoint: ev.Endpoint, Until: now.Add(p.Policy.SuspicionTTL)}
		if updated, recorded := p.parts.recordDeath(now, suspicion); recorded {
			actions = append(actions, BroadcastSuspect{updated})
		}
	}
	return append(actions, p.dispatch(now)...)
}

// clearParts marks the shared parts of a request that produced output to its end as known good.
func (p *Pool) clearParts(r *Request) {
	for _, part := range sharedParts(r.Parts) {
		p.parts.clear(part.ID)
	}
}

// blocked reports whether a request must not be sent, because it or a part of its prompt crashes endpoints.
func (p *Pool) blocked(now time.Time, r *Request) bool {
	if p.suspects.deaths(now, r.Fingerprint) > maxDeaths {
		return true
	}
	if len(p.parts.byID) == 0 {
		return false
	}
	for _, part := range sharedParts(r.Parts) {
		if p.parts.deaths(now, part.ID) > maxPartDeaths {
			return true
		}
	}
	return false
}

// suspectPart returns a part of a request's prompt that is a suspect, and whether there is one.
func (p *Pool) suspectPart(now time.Time, r *Request) (id uint64, found bool) {
	if len(p.parts.byID) == 0 {
		return 0, false
	}
	for _, part := range sharedParts(r.Parts) {
		if p.parts.deaths(now, part.ID) > 0 {
			return part.ID, true
		}
	}
	return 0, false
}

// partInFlight reports whether a request with a part in its prompt is in flight.
// Other requests with a suspect part wait for its outcome.
func (p *Pool) partInFlight(id uint64) bool {
	for _, b := range p.ordered {
		for _, j := range b.running {
			for _, part := range sharedParts(j.Parts) {
				if part.ID == id {
					return true
				}
			}
		}
	}
	return false
}

// HasUnknownParts reports whether a prompt has a shared part that is not known good.
func (p *Pool) HasUnknownParts(prompt []Part) bool {
	for _, part := range sharedParts(prompt) {
		if !p.parts.isKnownGood(part.ID) {
			return true
		}
	}
	return false
}

// IsKnownGoodPart reports whether a request with a part in its prompt is known to have finished.
func (p *Pool) IsKnownGoodPart(id uint64) bool { return p.parts.isKnownGood(id) }

// BlockedParts returns the suspicions of the parts whose requests are refused, in no particular order.
func (p *Pool) BlockedParts(now time.Time) []Suspicion {
	return p.parts.withMoreDeaths(now, maxPartDeaths)
}

// BlockedRequests returns the suspicions of the requests that are refused, in no particular order.
func (p *Pool) BlockedRequests(now time.Time) []Suspicion {
	return p.suspects.withMoreDeaths(now, maxDeaths)
}
