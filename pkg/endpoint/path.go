package endpoint

import "time"

// savedHealth is the health of a backend before the first of some failures.
type savedHealth struct {
	health

	at time.Time
}

// saveHealth keeps the health of a backend before the first failure since a request finished there.
func (p *Pool) saveHealth(now time.Time, b *backend) {
	if b.saved == nil {
		b.saved = &savedHealth{b.health, now}
	}
}

// forgetHealth drops the saved health of a backend at which a request finished.
func (p *Pool) forgetHealth(b *backend) {
	if !p.pathLost {
		b.saved = nil
	}
}

// losePath notes which health to go back to when the path is there again: that before the failures since the given time.
func (p *Pool) losePath(now, since time.Time) {
	p.pathLost = true
	for _, b := range p.backends {
		if b.saved == nil || b.saved.at.Before(since) {
			b.saved = &savedHealth{b.health, now}
		}
	}
}

// restorePath takes back the ejections and silences since the path was lost, which say nothing about the endpoints.
func (p *Pool) restorePath() {
	if !p.pathLost {
		return
	}
	p.pathLost = false
	for _, b := range p.backends {
		if b.saved != nil {
			b.health = b.saved.health
		}
		b.saved = nil
	}
}
