package router

import (
	"sync"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// backends carries out what the endpoint pool decides.
type backends struct {
	r *Router

	mu        sync.Mutex
	pool      endpoint.Pool     // Guarded by mu.
	cacheSeen map[string]uint64 // Guarded by mu; the last cache event taken over, by endpoint.

	decisions decision.Waiters[endpoint.Action]
}

func (b *backends) handle(now time.Time, ev endpoint.Event) {
	for _, action := range decision.Locked(&b.mu, b.pool.Handle, now, ev) {
		b.perform(now, action)
	}
}

func (b *backends) perform(now time.Time, action endpoint.Action) {
	switch action := action.(type) {
	case endpoint.Send:
		if !b.decisions.Send(action.ID, action) {
			b.handle(now, endpoint.Ended{ID: action.ID, Outcome: endpoint.Abandoned})
		}
	case endpoint.Refuse:
		b.decisions.Send(action.ID, action)
	case endpoint.TellSuspect:
		b.r.background(func() { b.r.peers.tellSuspect(action.Suspect) })
	}
}

// configure takes the endpoints of new settings.
func (b *backends) configure(now time.Time, s *snapshot) {
	b.handle(now, endpoint.Configured{Endpoints: s.endpoints()})
	for _, e := range s.tree.Fleet.Endpoints {
		b.handle(now, endpoint.LeavingSeen{Endpoint: e.Name, Leaving: e.Leaving})
	}
}

// poll asks every endpoint for its load.
func (b *backends) poll(time.Time) {
	for name, address := range b.r.snapshot().address {
		b.r.background(func() { b.ask(name, address) })
	}
}

func (b *backends) ask(name, address string) {
	report, err := b.r.endpoints.load(address, b.lastCacheEvent(name))
	if err != nil {
		return // A failed query says nothing about the requests in flight, which find out for themselves.
	}
	now := time.Now()
	b.noteCacheEvent(name, report.CacheSequence)
	load := endpoint.Load{Running: report.Running, Waiting: report.Waiting, Leaving: report.Leaving}
	b.handle(now, endpoint.Reported{Endpoint: name, Load: load})
	for _, e := range report.Cache {
		b.handle(now, endpoint.CacheSeen{Endpoint: name, Prefix: e.Prefix, Dropped: e.Dropped})
	}
}

func (b *backends) lastCacheEvent(name string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cacheSeen[name]
}

// noteCacheEvent remembers the last event; a lower number is that of an engine that restarted.
func (b *backends) noteCacheEvent(name string, sequence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cacheSeen == nil {
		b.cacheSeen = map[string]uint64{}
	}
	b.cacheSeen[name] = sequence
}

func (b *backends) views(now time.Time) ([]endpoint.View, []endpoint.Suspicion, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool.Views(now), b.pool.Suspicions(), b.pool.Waiting()
}
