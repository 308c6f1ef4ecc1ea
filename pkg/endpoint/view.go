package endpoint

import "time"

// View is the state of one endpoint in a Pool.
type View struct {
	Name         string
	Running      int  // This router's requests in flight.
	Reported     Load // Last load report.
	Leaving      bool
	Down         bool    // Whether the endpoint is ejected or avoided for silence.
	TokenSeconds float64 // Measured seconds per output token.
	Cold         bool    // Whether it is taken for cold.
	Paced        bool    // Whether it has started or recovered and does not get its full load yet.
}

// Views returns the state of each endpoint, sorted by name.
func (p *Pool) Views(now time.Time) []View {
	views := make([]View, 0, len(p.ordered))
	for _, b := range p.ordered {
		views = append(views, View{
			Name:         b.Name,
			Running:      len(b.running),
			Reported:     b.report,
			Leaving:      b.leaving(),
			Down:         now.Before(b.ejectedUntil) || now.Before(b.silentUntil),
			TokenSeconds: b.tokenTime,
			Cold:         b.isCold(now),
			Paced:        p.isPaced(now, b) && !now.Before(b.pace.beganAt),
		})
	}
	return views
}

// Waiting returns the number of requests that wait for an endpoint.
func (p *Pool) Waiting() int { return len(p.queue.waiting) }

// IsKnownGood reports whether a request with this fingerprint is known to have finished, so that it is no suspect.
func (p *Pool) IsKnownGood(fingerprint uint64) bool { return p.suspects.isKnownGood(fingerprint) }

// Suspicions returns the current suspicions, in no particular order.
func (p *Pool) Suspicions() []Suspicion { return append(p.suspects.list(), p.parts.list()...) }
