package endpoint

import "time"

// Parameters of reported slowdowns.
const (
	maxSlowdownAge = 300 * time.Millisecond // A slowdown changes many times a second, so that an older one says nothing.

	// Slowdowns from lowSlowdown to highSlowdown count as 1, so that the choice among endpoints does not follow their fluctuation.
	lowSlowdown  = 0.8
	highSlowdown = 1.25
)

// slowdownAt returns the factor by which work takes longer at the endpoint than usual, as far as its last report tells. The weight
// of the report falls to zero with its age.
func (b *backend) slowdownAt(now time.Time) float64 {
	s := b.report.Slowdown
	if s == 0 {
		return 1
	}
	age := now.Sub(b.reportAt)
	if age >= maxSlowdownAge || s >= lowSlowdown && s <= highSlowdown {
		return 1
	}
	excess := s - highSlowdown
	if s < lowSlowdown {
		excess = s - lowSlowdown
	}
	return 1 + excess*(1-max(0, age.Seconds())/maxSlowdownAge.Seconds())
}
