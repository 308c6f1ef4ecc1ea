package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// endpointsFeed is the name of the feed of the endpoints' entries.
const endpointsFeed = "endpoints"

// entries tracks the entries of the endpoints in the store and configures the endpoint pool accordingly.
type entries struct {
	g *Gateway

	updateMu sync.Mutex // Held during updatePool, so that the pool gets the states in their order; taken before mu.

	mu               sync.Mutex
	tracked          map[string]*trackedEndpoint // By endpoint name; guarded by mu.
	storeRecoveredAt time.Time                   // When the store last became reachable again; guarded by mu.
	restarted        map[string]bool             // Names of endpoints that restarted since the last updatePool; guarded by mu.
	updateAt         time.Time                   // When the pool is to be updated although no entry changes; zero if never; guarded by mu.
	read             bool                        // All entries were read at least once; guarded by mu.

	known entriesKnown
}

// trackedEndpoint is an endpoint that has an entry, or had one recently.
type trackedEndpoint struct {
	Entry

	missingSince time.Time // When its entry was found to be missing or unreadable; zero while it exists.
	unreadable   bool      // The entry exists, but another writer has made it unreadable.
	coldUntil    time.Time // Latest end of the time for which one of its entries said that it is cold.
}

// Timeouts for endpoints whose entries are missing.
const (
	rewriteGrace     = 2100 * time.Millisecond // Period after the store recovers in which live endpoints rewrite their entries.
	missingGrace     = 1700 * time.Millisecond // Longest use without a readable entry; an endpoint that leaves keeps serving for only 2 s.
	expiryWindow     = 600 * time.Millisecond  // Period after the store recovers in which it reports entries that expired during the outage.
	missingRetention = 30 * time.Second        // Time in the pool without an entry, for requests that are still running.
)

// storeRecovered records that the store is reachable again after an outage, in which entries of live endpoints may have expired.
func (e *entries) storeRecovered(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeRecoveredAt = now
	e.updateAt = now
}

// applySnapshot updates all endpoints from the entries in the store and marks those without an entry as missing.
func (e *entries) applySnapshot(now time.Time, entries []keyvalue.Entry) {
	e.mu.Lock()
	e.read = true
	present := map[string]bool{}
	for _, entry := range entries {
		present[e.g.dialect.EntryName(entry.Key)] = true
		e.update(now, entry.Key, entry.Value)
	}
	for name, ep := range e.tracked {
		if !present[name] {
			e.markMissing(now, ep)
		}
	}
	e.mu.Unlock()
	e.updatePool(now)
}

// applyPage updates endpoints from a part of the entries, so that requests for these need not wait until all are read.
func (e *entries) applyPage(now time.Time, entries []keyvalue.Entry) {
	e.mu.Lock()
	for _, entry := range entries {
		e.update(now, entry.Key, entry.Value)
	}
	e.mu.Unlock()
	e.updatePool(now)
}

// applyChanges updates endpoints from changed or deleted entries.
//
// The pool is updated once for all changes, since that takes time in proportion to the number of endpoints.
func (e *entries) applyChanges(now time.Time, changes []keyvalue.Change) {
	e.mu.Lock()
	for _, c := range changes {
		if !c.Deleted {
			e.update(now, c.Key, c.Value)
		} else if ep, ok := e.tracked[e.g.dialect.EntryName(c.Key)]; ok {
			e.markMissing(now, ep)
		}
	}
	e.mu.Unlock()
	e.updatePool(now)
}

// update parses an entry and updates its endpoint; mu must be held.
//
// An entry of an earlier incarnation than the known one is ignored: it was written late, or comes from an older copy of the
// store. Taken for a restart, it would take back what the endpoint has said of its leave.
func (e *entries) update(now time.Time, key string, value []byte) {
	entry, err := e.g.dialect.Entry(key, value)
	if err != nil {
		e.g.log.Warn("endpoint entry not read", logfile.Error(err))
		e.markUnreadable(now, e.g.dialect.EntryName(key))
		return
	}
	ep, ok := e.tracked[entry.Name]
	if ok && ep.missingSince.IsZero() && entry.StartedAt < ep.StartedAt {
		e.g.log.Warn("endpoint entry outdated", zap.String("Endpoint", entry.Name), zap.Int64("Born", entry.StartedAt),
			zap.Int64("KnownBorn", ep.StartedAt), zap.Bool("Leaving", ep.Leaving))
		return
	}
	if !ok || ep.StartedAt != entry.StartedAt {
		if ok {
			e.restarted[entry.Name] = true
		}
		ep = &trackedEndpoint{}
		e.tracked[entry.Name] = ep
		e.g.log.Info("endpoint seen", zap.String("Endpoint", entry.Name), zap.String("Service", entry.Service),
			zap.String("Address", entry.Address), zap.String("EndpointVersion", entry.Version), zap.Int64("Born", entry.StartedAt))
	}
	// An endpoint does not take its leave back; an older entry may come from a store that lost the newer one.
	entry.Leaving = entry.Leaving || ep.Leaving
	if entry.Leaving && !ep.Leaving {
		e.g.log.Info("endpoint leaves", zap.String("Endpoint", entry.Name), zap.Int64("EntriesAgeMilliseconds", e.g.endpointsAge()))
	}
	ep.Entry = entry
	ep.observeCold(now)
	ep.missingSince = time.Time{}
	ep.unreadable = false
}

// markUnreadable records that an entry cannot be read any more; mu must be held.
func (e *entries) markUnreadable(now time.Time, name string) {
	ep, ok := e.tracked[name]
	if !ok || !ep.missingSince.IsZero() {
		return
	}
	ep.missingSince = now
	ep.unreadable = true
}

// markMissing records that an entry is missing; mu must be held.
func (e *entries) markMissing(now time.Time, ep *trackedEndpoint) {
	if !ep.missingSince.IsZero() && !ep.unreadable {
		return
	}
	ep.missingSince = now
	ep.unreadable = false
	e.g.log.Info("endpoint entry gone", zap.String("Endpoint", ep.Name), zap.Bool("MayReturn", e.mayHaveExpired(ep)))
}

// usable reports whether an endpoint may get new requests; mu must be held.
//
// An entry that may have expired during an outage of the store, or that another
// writer has made unreadable, counts as present until its endpoint has had time to
// rewrite it.
func (e *entries) usable(now time.Time, ep *trackedEndpoint) bool {
	switch {
	case ep.Leaving:
		return false
	case ep.missingSince.IsZero():
		return true
	case now.Sub(ep.missingSince) >= missingGrace:
		return false
	}
	return ep.unreadable || e.mayHaveExpired(ep) && now.Sub(e.storeRecoveredAt) < rewriteGrace
}

// mayHaveExpired reports whether an entry may be missing only because of an outage of the store; mu must be held.
func (e *entries) mayHaveExpired(ep *trackedEndpoint) bool {
	since := ep.missingSince.Sub(e.storeRecoveredAt)
	return since >= 0 && since < expiryWindow
}

// namesIn returns the names of the endpoints in a data centre, sorted.
func (e *entries) namesIn(dataCentre string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var names []string
	for name, ep := range e.tracked {
		if ep.DataCentre == dataCentre {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// updatePool passes the tracked endpoints to the pool, with those that may get no new requests marked as leaving: also those
// of evacuated data centres. Versions that are not recorded yet are written down.
func (e *entries) updatePool(now time.Time) {
	t := e.g.table.Load()
	if t == nil || e.g.evacuations.awaited(now, evacuationsWait) {
		return
	}
	e.updateMu.Lock()
	defer e.updateMu.Unlock()
	e.mu.Lock()
	maps.DeleteFunc(e.tracked, func(_ string, ep *trackedEndpoint) bool {
		return !ep.missingSince.IsZero() && now.Sub(ep.missingSince) > missingRetention
	})
	e.observeVersions(now, t)
	evacuated := e.g.evacuations.evacuated()
	list := make([]placement.EndpointConfig, 0, len(e.tracked))
	for _, name := range slices.Sorted(maps.Keys(e.tracked)) {
		ep := e.tracked[name]
		spec := endpoint.Endpoint{Name: name, Serves: []string{ep.Service}, Version: ep.Version, Slots: ep.Slots}
		spec.Unrecorded = e.g.versions.history.Unrecorded(now, ep.Service, ep.Version)
		s, ok := t.Service(ep.Service)
		if ok {
			ep.describeCold(now, s, &spec)
		}
		if ok && s.ModelEngine {
			spec.Paced = e.g.cfg.Settings.Pace.Engines
			spec.PromptTokensPerSecond = initialPromptRate
			spec.TokensPerSecond = initialTokenRate
		}
		list = append(list, placement.EndpointConfig{Endpoint: spec, Address: ep.Address, Leaving: evacuated[ep.DataCentre] || !e.usable(now, ep)})
	}
	e.updateAt = e.nextUpdate(now)
	restarted := e.restarted
	e.restarted = map[string]bool{}
	read := e.read
	e.mu.Unlock()
	e.g.endpoints.Configure(now, list, restarted)
	e.g.path.configure(now, list)
	e.known.update(read)
	e.g.versions.tick(now)
}

// nextUpdate returns when the next missing entry comes to the end of a grace period or is dropped, or streams may begin at a
// version that is not recorded, or zero if neither is ahead; mu must be held.
func (e *entries) nextUpdate(now time.Time) time.Time {
	next := e.g.versions.history.NextChange(now)
	for _, ep := range e.tracked {
		if ep.missingSince.IsZero() {
			continue
		}
		at := ep.missingSince.Add(missingRetention)
		if e.usable(now, ep) {
			at = ep.missingSince.Add(missingGrace)
			if recovered := e.storeRecoveredAt.Add(rewriteGrace); !ep.unreadable && recovered.Before(at) {
				at = recovered
			}
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// observeVersions tells the history of versions which versions the endpoints of the configured services have; mu must be held.
func (e *entries) observeVersions(now time.Time, t *route.Table) {
	list := make([]origin.EndpointVersion, 0, len(e.tracked))
	for _, ep := range e.tracked {
		if _, ok := t.Service(ep.Service); ok {
			list = append(list, origin.EndpointVersion{Service: ep.Service, Version: ep.Version, Present: ep.missingSince.IsZero(), Usable: e.usable(now, ep)})
		}
	}
	e.g.versions.history.Observe(now, list)
}

// Throughput assumed for a model engine until it has been measured, in tokens per second.
const (
	initialPromptRate = 25000
	initialTokenRate  = 150
)

// tick advances the clock of the pool. It also updates the pool when a grace period ends, and while the pool has not been
// configured for want of the evacuations. It reports whether an update is due soon or versions wait to be recorded.
//
// An update takes time in proportion to the number of endpoints, so it is not done each time while something is pending.
func (e *entries) tick(now time.Time) (pending bool) {
	awaited := e.g.evacuations.awaited(now, evacuationsWait+evacuationsCheck)
	if awaited || e.updateDue(now) {
		e.updatePool(now)
	}
	e.g.endpoints.Handle(now, endpoint.Tick{})
	return awaited || e.updateDue(now.Add(idlePeriod)) || e.g.versions.history.Pending()
}

// updateDue reports whether the pool is to be updated by the time now although no entry changes.
func (e *entries) updateDue(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.updateAt.IsZero() && !now.Before(e.updateAt)
}
