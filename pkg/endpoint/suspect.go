package endpoint

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Suspicion is what is known about a request that was in flight when endpoints died.
type Suspicion struct {
	Fingerprint uint64
	Deaths      int
	Until       time.Time
}

// deathsAllowed is the number of endpoint deaths after which a request is refused.
const deathsAllowed = 1

// soundKept is the number of requests that are remembered to have finished.
const soundKept = 4096

// suspects remembers suspicions by fingerprint.
//
// A request that finished once does not make endpoints die: that it was in
// flight when one died says nothing about it, however often it is asked.
type suspects struct {
	known map[uint64]Suspicion
	sound *simplelru.LRU[uint64, struct{}] // Fingerprints that finished; nil before the first.
}

func (s *suspects) isSound(fingerprint uint64) bool {
	return s.sound != nil && s.sound.Contains(fingerprint)
}

func (s *suspects) deaths(now time.Time, fingerprint uint64) int {
	found, ok := s.known[fingerprint]
	if !ok || now.After(found.Until) {
		return 0
	}
	return found.Deaths
}

// blame notes that an endpoint died while the request ran on it, unless the request is known to be sound.
func (s *suspects) blame(now time.Time, fingerprint uint64, keep time.Duration) (told Suspicion, blamed bool) {
	if s.isSound(fingerprint) {
		return Suspicion{}, false
	}
	next := Suspicion{
		Fingerprint: fingerprint,
		Deaths:      s.deaths(now, fingerprint) + 1,
		Until:       now.Add(keep),
	}
	s.put(next)
	return next, true
}

// hear merges a peer's suspicion; the larger number of deaths stands.
func (s *suspects) hear(now time.Time, heard Suspicion) {
	if heard.Deaths > s.deaths(now, heard.Fingerprint) && !s.isSound(heard.Fingerprint) {
		s.put(heard)
	}
}

func (s *suspects) put(next Suspicion) {
	if s.known == nil {
		s.known = map[uint64]Suspicion{}
	}
	s.known[next.Fingerprint] = next
}

// clear frees a request that finished from suspicion.
func (s *suspects) clear(fingerprint uint64) {
	delete(s.known, fingerprint)
	if s.sound == nil {
		s.sound, _ = simplelru.NewLRU[uint64, struct{}](soundKept, nil)
	}
	s.sound.Add(fingerprint, struct{}{})
}

func (s *suspects) expire(now time.Time) {
	for fingerprint, found := range s.known {
		if now.After(found.Until) {
			delete(s.known, fingerprint)
		}
	}
}

func (s *suspects) list() []Suspicion {
	all := make([]Suspicion, 0, len(s.known))
	for _, found := range s.known {
		all = append(all, found)
	}
	return all
}
