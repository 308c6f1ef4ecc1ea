package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// entries follows what the endpoints say of themselves in the store and tells the pool which of them to use.
type entries struct {
	g *Gateway

	mu         sync.Mutex
	known      map[string]*known // By name; guarded by mu.
	regainedAt time.Time         // When the store was last heard again after it was away; guarded by mu.
	restarted  map[string]bool   // Endpoints that started again under their name; guarded by mu.
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

// storeRegained notes that the store is heard again, so that entries may have lapsed though their endpoints live.
func (e *entries) storeRegained(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.regainedAt = now
}

// read takes all entries over; endpoints without one are treated as if their entries had just disappeared.
func (e *entries) read(now time.Time, entries []keyvalue.Entry) {
	e.mu.Lock()
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
	e.mu.Unlock()
	e.configure(now)
}

func (e *entries) changed(now time.Time, c keyvalue.Change) {
	e.mu.Lock()
	if c.Deleted {
		if k, ok := e.known[e.g.dialect.EntryName(c.Key)]; ok {
			e.miss(now, k)
		}
	} else {
		e.take(c.Key, c.Value)
	}
	e.mu.Unlock()
	e.configure(now)
}

// take reads one entry; mu is held.
func (e *entries) take(key string, value []byte) {
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

// miss notes that an entry disappeared; mu is held.
func (e *entries) miss(now time.Time, k *known) {
	if !k.goneAt.IsZero() {
		return
	}
	k.goneAt = now
	e.g.log.Info("endpoint entry gone", zap.String("Endpoint", k.Name), zap.Bool("MayReturn", e.lapsed(k)))
}

// usable reports whether an endpoint may get new requests; mu is held.
//
// An entry that lapsed while the store was away counts as there until its
// endpoint has had the time to write it again.
func (e *entries) usable(now time.Time, k *known) bool {
	switch {
	case k.Leaving:
		return false
	case k.goneAt.IsZero():
		return true
	}
	return e.lapsed(k) && now.Sub(e.regainedAt) < returnGrace && now.Sub(k.goneAt) < goneGrace
}

// lapsed reports whether an entry may have disappeared only because the store was away; mu is held.
func (e *entries) lapsed(k *known) bool {
	since := k.goneAt.Sub(e.regainedAt)
	return since >= 0 && since < lapseSeen
}

// configure tells the pool which endpoints there are and which of them leave.
func (e *entries) configure(now time.Time) {
	t := e.g.table.Load()
	if t == nil {
		return
	}
	e.mu.Lock()
	maps.DeleteFunc(e.known, func(_ string, k *known) bool { return !k.goneAt.IsZero() && now.Sub(k.goneAt) > keepGone })
	list := make([]placement.Located, 0, len(e.known))
	for _, name := range slices.Sorted(maps.Keys(e.known)) {
		k := e.known[name]
		described := endpoint.Endpoint{Name: name, Serves: []string{k.Service}, Slots: k.Slots}
		if s, ok := t.Service(k.Service); ok && s.Model {
			described.PromptPerSecond = startPromptRate
			described.TokensPerSecond = startTokenRate
		}
		list = append(list, placement.Located{Endpoint: described, Address: k.Address, Leaving: !e.usable(now, k)})
	}
	restarted := e.restarted
	e.restarted = map[string]bool{}
	e.mu.Unlock()
	e.g.endpoints.Configure(now, list, restarted)
}

// Speeds that a model engine is taken to have until they are measured, in tokens a second.
const (
	startPromptRate = 25000
	startTokenRate  = 150
)

// tick lets time pass; entries that did not come back are dropped.
func (e *entries) tick(now time.Time) {
	e.mu.Lock()
	pending := false
	for _, k := range e.known {
		pending = pending || !k.goneAt.IsZero()
	}
	e.mu.Unlock()
	if pending {
		e.configure(now)
	}
	e.g.endpoints.Handle(now, endpoint.Tick{})
}
