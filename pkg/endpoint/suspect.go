package endpoint

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Suspicion records the endpoint deaths at which requests with one fingerprint, or with one part in their prompts, were
// in flight.
type Suspicion struct {
	Fingerprint uint64 // Hash of the request, or ID of the part.
	Part        bool   // Whether the suspect is a part of prompts.
	Deaths      int    // Number of endpoint deaths.
	Endpoint    string // Last endpoint that died, if the suspect is a part.
	Until       time.Time
}

// Highest numbers of endpoint deaths after which a request is still sent. After one more death, it is refused.
const (
	maxDeaths     = 1 // Of a request.
	maxPartDeaths = 2 // Of a part, which may have been in flight with the request that is to blame.
)

// Numbers of fingerprints and of parts that are kept as known good.
const (
	maxKnownGood      = 4096
	maxKnownGoodParts = 8192
)

// suspects holds the suspicions of requests or of parts, and those that are known good.
//
// A request or part that has finished once is not the cause of endpoint deaths.
// Being in flight when an endpoint dies does not make it a suspect, however
// often it is sent.
type suspects struct {
	limit     int // Number that is kept as known good; zero means maxKnownGood.
	byID      map[uint64]Suspicion
	knownGood *simplelru.LRU[uint64, struct{}] // Those that finished; nil before the first.
}

func (s *suspects) isKnownGood(id uint64) bool {
	return s.knownGood != nil && s.knownGood.Contains(id)
}

// deaths returns the number of endpoint deaths in the unexpired suspicion of a request or part.
func (s *suspects) deaths(now time.Time, id uint64) int {
	found, ok := s.byID[id]
	if !ok || now.After(found.Until) {
		return 0
	}
	return found.Deaths
}

// recordDeath adds the death of an endpoint, unless the request or part is known good.
// It returns the updated suspicion and whether the death was recorded.
func (s *suspects) recordDeath(now time.Time, next Suspicion) (updated Suspicion, recorded bool) {
	if s.isKnownGood(next.Fingerprint) {
		return Suspicion{}, false
	}
	next.Deaths = s.deaths(now, next.Fingerprint) + 1
	s.put(next)
	return next, true
}

// merge adds a suspicion from another router. The larger number of deaths wins.
func (s *suspects) merge(now time.Time, received Suspicion) {
	if received.Deaths > s.deaths(now, received.Fingerprint) && !s.isKnownGood(received.Fingerprint) {
		s.put(received)
	}
}

func (s *suspects) put(next Suspicion) {
	if s.byID == nil {
		s.byID = map[uint64]Suspicion{}
	}
	s.byID[next.Fingerprint] = next
}

// clear removes the suspicion of a request or part that finished and marks it as known good.
func (s *suspects) clear(id uint64) {
	delete(s.byID, id)
	if s.knownGood == nil {
		limit := maxKnownGood
		if s.limit > 0 {
			limit = s.limit
		}
		s.knownGood, _ = simplelru.NewLRU[uint64, struct{}](limit, nil)
	}
	s.knownGood.Add(id, struct{}{})
}

func (s *suspects) expire(now time.Time) {
	for id, found := range s.byID {
		if now.After(found.Until) {
			delete(s.byID, id)
		}
	}
}

// withMoreDeaths returns the unexpired suspicions with more than a number of endpoint deaths, in no particular order.
func (s *suspects) withMoreDeaths(now time.Time, deaths int) []Suspicion {
	var found []Suspicion
	for id, suspicion := range s.byID {
		if s.deaths(now, id) > deaths {
			found = append(found, suspicion)
		}
	}
	return found
}

func (s *suspects) list() []Suspicion {
	all := make([]Suspicion, 0, len(s.byID))
	for _, found := range s.byID {
		all = append(all, found)
	}
	return all
}
