package endpoint

import "time"

// Suspicion is what is known about a request that was in flight when endpoints died.
type Suspicion struct {
	Fingerprint uint64
	Deaths      int
	Until       time.Time
}

// deathsAllowed is the number of endpoint deaths after which a request is refused.
const deathsAllowed = 1

// suspects remembers suspicions by fingerprint.
type suspects struct {
	known map[uint64]Suspicion
}

func (s *suspects) deaths(now time.Time, fingerprint uint64) int {
	found, ok := s.known[fingerprint]
	if !ok || now.After(found.Until) {
		return 0
	}
	return found.Deaths
}

// blame notes that an endpoint died while the request ran on it.
func (s *suspects) blame(now time.Time, fingerprint uint64, keep time.Duration) Suspicion {
	next := Suspicion{
		Fingerprint: fingerprint,
		Deaths:      s.deaths(now, fingerprint) + 1,
		Until:       now.Add(keep),
	}
	s.put(next)
	return next
}

// hear merges a peer's suspicion; the larger number of deaths stands.
func (s *suspects) hear(now time.Time, heard Suspicion) {
	if heard.Deaths > s.deaths(now, heard.Fingerprint) {
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
func (s *suspects) clear(fingerprint uint64) { delete(s.known, fingerprint) }

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
