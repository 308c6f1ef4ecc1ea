package endpoint

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// health is what failed attempts change of a backend.
type health struct {
	ejectedUntil time.Time
	silentUntil  time.Time
	silences     int
	downAt       time.Time
	deaths       int
	failures     float64
	prefixes     *simplelru.LRU[uint64, struct{}]
}

// savedHealth is the health of a backend before the first of some failures.
type savedHealth struct {
	health

	at time.Time
}

func (b *backend) health() health {
	return health{ejectedUntil: b.ejectedUntil, silentUntil: b.silentUntil, silences: b.silences, downAt: b.downAt, deaths: b.deaths, failures: b.failures, prefixes: b.prefixes}
}

func (b *backend) setHealth(h health) {
	b.ejectedUntil = h.ejectedUntil
	b.silentUntil = h.silentUntil
	b.silences = h.silences
	b.downAt = h.downAt
	b.deaths = h.deaths
	b.failures = h.failures
	b.prefixes = h.prefixes
}

// saveHealth keeps the health of a backend before the first failure since a request finished there.
func (p *Pool) saveHealth(now time.Time, b *backend) {
	if b.saved == nil {
		b.saved = &savedHealth{b.health(), now}
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
			b.saved = &savedHealth{b.health(), now}
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
			b.setHealth(b.saved.health)
		}
		b.saved = nil
	}
}
