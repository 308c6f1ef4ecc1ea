package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// endpoints follows the endpoints' entries and carries out what the pool decides.
type endpoints struct {
	g *Gateway

	mu   sync.Mutex
	pool endpoint.Pool // Guarded by mu.

	// Decisions takes what was decided about each request.
	decisions decision.Waiters[endpoint.Action]

	entriesMu  sync.Mutex
	known      map[string]*known // By name; guarded by entriesMu.
	regainedAt time.Time         // When the store was last heard again after it was away; guarded by entriesMu.
	restarted  map[string]bool   // Endpoints that started again under their name; guarded by entriesMu.
}

// known is an endpoint that has or had an entry.
type known struct {
	Entry

	goneAt time.Time // When its entry disappeared; zero while it is there.
}

// Times of endpoints that come and go.
const (
	returnGrace = 2100 * time.Millisecond // After the store's return, in which live endpoints write their entries again.
	goneGrace   = 1700 * time.Millisecond // After an entry was seen to be gone; an endpoint that leaves serves 2 s longer.
	lapseSeen   = 600 * time.Millisecond  // After the store's return, in which entries that lapsed meanwhile are told.
	keepGone    = 30 * time.Second        // For requests that still run there.
)

func (e *endpoints) handle(now time.Time, ev endpoint.Event) {
	for _, action := range decision.Locked(&e.mu, e.pool.Handle, now, ev) {
		e.perform(now, action)
	}
}

func (e *endpoints) perform(now time.Time, action endpoint.Action) {
	switch action := action.(type) {
	case endpoint.Send:
		if !e.decisions.Send(action.ID, action) {
			e.handle(now, endpoint.Ended{ID: action.ID, Outcome: endpoint.Rejected})
			e.handle(now, endpoint.Withdrawn{ID: action.ID})
		}
	case endpoint.Refuse:
		e.decisions.Send(action.ID, action)
	case endpoint.TellSuspect:
		e.g.peers.tellSuspect(action.Suspect)
	}
}

// storeRegained notes that the store is heard again, so that entries may have lapsed though their endpoints live.
func (e *endpoints) storeRegained(now time.Time) {
	e.entriesMu.Lock()
	defer e.entriesMu.Unlock()
	e.regainedAt = now
}

// read takes all entries over; endpoints without one are treated as if their entries had just disappeared.
func (e *endpoints) read(now time.Time, entries []keyvalue.Entry) {
	e.entriesMu.Lock()
	present := map[string]bool{}
	for _, entry := range entries {
		present[e.g.dialect.EntryName(entry.Key)] = true
		e.take(entry.Key, entry.Value)
	}
	for name, k := range e.known {
		if !present[name] {
			e.miss(now, k)
		}
	}
	e.entriesMu.Unlock()
	e.configure(now)
}

func (e *endpoints) changed(now time.Time, c keyvalue.Change) {
	e.entriesMu.Lock()
	if c.Deleted {
		if k, ok := e.known[e.g.dialect.EntryName(c.Key)]; ok {
			e.miss(now, k)
		}
	} else {
		e.take(c.Key, c.Value)
	}
	e.entriesMu.Unlock()
	e.configure(now)
}

// take reads one entry; entriesMu is held.
func (e *endpoints) take(key string, value []byte) {
	entry, err := e.g.dialect.Entry(key, value)
	if err != nil {
		e.g.log.Warn("endpoint entry not read", zap.String("Key", key), logfile.Problem(err))
		return
	}
	k, ok := e.known[entry.Name]
	if !ok || k.Born != entry.Born {
		if ok {
			e.restarted[entry.Name] = true
		}
		k = &known{}
		e.known[entry.Name] = k
		e.g.log.Info("endpoint seen", zap.String("Endpoint", entry.Name), zap.String("Service", entry.Service),
			zap.String("Address", entry.Address), zap.Int64("Born", entry.Born))
	}
	if entry.Leaving && !k.Leaving {
		e.g.log.Info("endpoint leaves", zap.String("Endpoint", entry.Name))
	}
	k.Entry = entry
	k.goneAt = time.Time{}
}

// miss notes that an entry disappeared; entriesMu is held.
func (e *endpoints) miss(now time.Time, k *known) {
	if !k.goneAt.IsZero() {
		return
	}
	k.goneAt = now
	e.g.log.Info("endpoint entry gone", zap.String("Endpoint", k.Name), zap.Bool("MayReturn", e.lapsed(k)))
}

// usable reports whether an endpoint may get new requests; entriesMu is held.
//
// An entry that lapsed while the store was away counts as there until its
// endpoint has had the time to write it again.
func (e *endpoints) usable(now time.Time, k *known) bool {
	switch {
	case k.Leaving:
		return false
	case k.goneAt.IsZero():
		return true
	}
	return e.lapsed(k) && now.Sub(e.regainedAt) < returnGrace && now.Sub(k.goneAt) < goneGrace
}

// lapsed reports whether an entry may have disappeared only because the store was away; entriesMu is held.
func (e *endpoints) lapsed(k *known) bool {
	since := k.goneAt.Sub(e.regainedAt)
	return since >= 0 && since < lapseSeen
}

// configure tells the pool which endpoints there are and which of them leave.
func (e *endpoints) configure(now time.Time) {
	t := e.g.table.Load()
	if t == nil {
		return
	}
	e.entriesMu.Lock()
	maps.DeleteFunc(e.known, func(_ string, k *known) bool { return !k.goneAt.IsZero() && now.Sub(k.goneAt) > keepGone })
	var list, fresh []endpoint.Endpoint
	var leaving []endpoint.LeavingSeen
	for _, name := range slices.Sorted(maps.Keys(e.known)) {
		k := e.known[name]
		described := endpoint.Endpoint{Name: name, Serves: []string{k.Service}, Slots: k.Slots}
		if s, ok := t.Service(k.Service); ok && s.Model {
			described.PromptPerSecond = startPromptRate
			described.TokensPerSecond = startTokenRate
		}
		leaving = append(leaving, endpoint.LeavingSeen{Endpoint: name, Leaving: !e.usable(now, k)})
		if e.restarted[name] {
			fresh = append(fresh, described)
			continue
		}
		list = append(list, described)
	}
	clear(e.restarted)
	e.entriesMu.Unlock()
	e.handle(now, endpoint.Configured{Endpoints: list})
	if len(fresh) > 0 {
		// What was known of an endpoint that started again no longer holds.
		e.handle(now, endpoint.Configured{Endpoints: append(list, fresh...)})
	}
	for _, ev := range leaving {
		e.handle(now, ev)
	}
}

// Speeds that a model engine is taken to have until they are measured, in tokens a second.
const (
	startPromptRate = 25000
	startTokenRate  = 150
)

// tick lets time pass; entries that did not come back are dropped.
func (e *endpoints) tick(now time.Time) {
	e.entriesMu.Lock()
	pending := false
	for _, k := range e.known {
		pending = pending || !k.goneAt.IsZero()
	}
	e.entriesMu.Unlock()
	if pending {
		e.configure(now)
	}
	e.handle(now, endpoint.Tick{})
}

// address returns where an endpoint listens.
func (e *endpoints) address(name string) (string, bool) {
	e.entriesMu.Lock()
	defer e.entriesMu.Unlock()
	k, ok := e.known[name]
	if !ok {
		return "", false
	}
	return k.Address, true
}

// reported takes over what an endpoint says of its load.
func (e *endpoints) reported(now time.Time, name string, load endpoint.Load) {
	e.handle(now, endpoint.Reported{Endpoint: name, Load: load})
}
