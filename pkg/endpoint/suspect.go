package endpoint

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Suspicion records the endpoint deaths at which requests with one fingerprint were in flight.
type Suspicion struct {
	Fingerprint uint64
	Deaths      int       // Number of endpoint deaths.
	Until       time.Time // End of the suspicion.
}

// maxDeaths is the highest number of endpoint deaths after which a request is still sent.
// After one more death, it is refused.
const maxDeaths = 1

// maxKnownGood limits the number of fingerprints that are kept as known good.
const maxKnownGood = 4096

// suspects holds the suspicions and the fingerprints that are known good.
//
// A request that has finished once is not the cause of endpoint deaths. Being in
// flight when an endpoint dies does not make it a suspect, however often it is
// sent.
type suspects struct {
	byFingerprint map[uint64]Suspicion
	knownGood     *simplelru.LRU[uint64, struct{}] // Fingerprints of requests that finished; nil before the first.
}

func (s *suspects) isKnownGood(fingerprint uint64) bool {
	return s.knownGood != nil && s.knownGood.Contains(fingerprint)
}

// deaths returns the number of endpoint deaths in the unexpired suspicion of a fingerprint.
func (s *suspects) deaths(now time.Time, fingerprint uint64) int {
	found, ok := s.byFingerprint[fingerprint]
	if !ok || now.After(found.Until) {
		return 0
	}
	return found.Deaths
}

// recordDeath adds the death of an endpoint that ran the request, unless the request is known good.
// It returns the updated suspicion and whether the death was recorded.
func (s *suspects) recordDeath(now time.Time, fingerprint uint64, ttl time.Duration) (updated Suspicion, recorded bool) {
	if s.isKnownGood(fingerprint) {
		return Suspicion{}, false
	}
	next := Suspicion{
		Fingerprint: fingerprint,
		Deaths:      s.deaths(now, fingerprint) + 1,
		Until:       now.Add(ttl),
	}
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
	if s.byFingerprint == nil {
		s.byFingerprint = map[uint64]Suspicion{}
	}
	s.byFingerprint[next.Fingerprint] = next
}

// clear removes the suspicion of a request that finished and marks the request as known good.
func (s *suspects) clear(fingerprint uint64) {
	delete(s.byFingerprint, fingerprint)
	if s.knownGood == nil {
		s.knownGood, _ = simplelru.NewLRU[uint64, struct{}](maxKnownGood, nil)
	}
	s.knownGood.Add(fingerprint, struct{}{})
}

func (s *suspects) expire(now time.Time) {
	for fingerprint, found := range s.byFingerprint {
		if now.After(found.Until) {
			delete(s.byFingerprint, fingerprint)
		}
	}
}

func (s *suspects) list() []Suspicion {
	all := make([]Suspicion, 0, len(s.byFingerprint))
	for _, found := range s.byFingerprint {
		all = append(all, found)
	}
	return all
}
