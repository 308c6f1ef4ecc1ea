package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/feed"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/peer"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// evacuationsFeed is the name of the feed of evacuated data centres.
const evacuationsFeed = "evacuations"

// Limits of what is known about evacuations.
const (
	maxEvacuated     = 64              // Data centres; the oldest keys count, so that later ones cannot displace them.
	maxEvacuatedName = 256             // Bytes of a name that a peer tells.
	evacuationsWait  = 3 * time.Second // Time from the start of the process in which endpoints are used only once the evacuations are known.
	evacuationsCheck = time.Second     // Time after that in which ticks still update the pool, so that it is configured without them.
)

// evacuations tracks which data centres operators have evacuated. It implements peer.Evacuations.
//
// The store holds a key for each of them. Of the sets that the feed shows and that peers tell, the one of the highest
// revision is in force, also while the store is not reachable.
type evacuations struct {
	g         *Gateway
	onChanged func(now time.Time)                      // Called after a change of the data centres, and when the first set is known.
	onEnded   func(now time.Time, names []string)      // Called before that with the endpoints of data centres that are no longer evacuated.
	endpoints func(dataCentre string) (names []string) // Returns the endpoints in a data centre.

	changeMu sync.Mutex                // Held while a set is put in force, so that its effects come in their order; taken before mu.
	keys     map[string]keyvalue.Entry // The keys in the store as the feed shows them, by data centre; guarded by changeMu.

	mu     sync.Mutex
	newest peer.EvacuatedSet // Guarded by mu.
	known  bool              // A set is known; guarded by mu.
}

// setup connects the evacuations with the gateway.
func (v *evacuations) setup(g *Gateway) {
	v.g = g
	v.keys = map[string]keyvalue.Entry{}
	v.onChanged = g.entries.updatePool
	v.onEnded = g.reportColdEndpoints
	v.endpoints = g.entries.namesIn
}

// reportColdEndpoints takes endpoints for cold, because they may have restarted during an evacuation.
func (g *Gateway) reportColdEndpoints(now time.Time, names []string) {
	g.log.Info("endpoints taken for cold", zap.Strings("Endpoints", names))
	for _, name := range names {
		g.endpoints.Handle(now, endpoint.ColdReported{Endpoint: name, For: g.entries.coldTime(name)})
	}
}

// newFeed returns the feed of the evacuations.
func (v *evacuations) newFeed() *feedState {
	return &feedState{name: evacuationsFeed, prefix: v.g.dialect.EvacuationPrefix(), onUpdate: v.applyUpdate}
}

// applyUpdate applies an update of the feed as a whole, since the set is that of the update's revision only after all changes.
func (v *evacuations) applyUpdate(now time.Time, u feed.Update) {
	if !u.Snapshot && len(u.Changes) == 0 {
		return
	}
	v.changeMu.Lock()
	defer v.changeMu.Unlock()
	if u.Snapshot {
		clear(v.keys)
	}
	changes := slices.Clone(u.Changes)
	slices.SortStableFunc(changes, func(a, b keyvalue.Change) int { return cmp.Compare(a.Version, b.Version) })
	var malformed []string
	for _, c := range changes {
		dataCentre := v.g.dialect.EvacuatedDataCentre(c.Key)
		switch {
		case dataCentre == "":
			malformed = append(malformed, c.Key)
		case c.Deleted:
			delete(v.keys, dataCentre)
		default:
			v.keys[dataCentre] = c.Entry
		}
	}
	set := peer.EvacuatedSet{Revision: u.Revision, DataCentres: v.oldest()}
	if ignored := len(malformed) + len(v.keys) - len(set.DataCentres); ignored > 0 {
		v.logIgnored(ignored, malformed)
	}
	v.apply(now, set, "store")
}

// logIgnored logs that keys are malformed or too many.
func (v *evacuations) logIgnored(n int, malformed []string) {
	first := ""
	if len(malformed) > 0 {
		first = malformed[0]
	}
	v.g.log.Warn("evacuation keys ignored", zap.Int("Keys", n), zap.Int("Malformed", len(malformed)), zap.String("First", first[:min(len(first), maxEvacuatedName)]))
}

// oldest returns the data centres of the oldest keys, sorted by name; changeMu must be held.
func (v *evacuations) oldest() []string {
	names := slices.SortedFunc(maps.Keys(v.keys), func(a, b string) int {
		return cmp.Or(cmp.Compare(v.keys[a].Version, v.keys[b].Version), cmp.Compare(a, b))
	})
	names = names[:min(len(names), maxEvacuated)]
	slices.Sort(names)
	return names
}

// Adopt puts a set that a peer told in force if it is newer than the known one.
func (v *evacuations) Adopt(now time.Time, set peer.EvacuatedSet, source string) {
	tooLong := func(name string) bool { return name == "" || len(name) > maxEvacuatedName }
	if len(set.DataCentres) > maxEvacuated || slices.ContainsFunc(set.DataCentres, tooLong) {
		v.g.log.Warn("evacuations not adopted", zap.String("Source", source), zap.Int("DataCentres", len(set.DataCentres)))
		return
	}
	v.changeMu.Lock()
	defer v.changeMu.Unlock()
	v.apply(now, set, source)
}

// apply puts a set in force unless a newer one is known; changeMu must be held.
func (v *evacuations) apply(now time.Time, set peer.EvacuatedSet, source string) {
	begun, ended, changed := v.replace(set)
	if !changed {
		return
	}
	for _, dataCentre := range begun {
		v.g.log.Info("evacuation in force", zap.String("DataCentre", dataCentre), zap.Uint64("Revision", set.Revision), zap.String("Source", source))
	}
	var names []string
	for _, dataCentre := range ended {
		v.g.log.Info("evacuation ended", zap.String("DataCentre", dataCentre), zap.Uint64("Revision", set.Revision), zap.String("Source", source))
		names = append(names, v.endpoints(dataCentre)...)
	}
	if len(names) > 0 {
		v.onEnded(now, names)
	}
	v.onChanged(now)
}

// replace replaces the newest set by one that is not older and returns the differences. It reports whether the data centres
// have changed, or a set is known for the first time.
func (v *evacuations) replace(set peer.EvacuatedSet) (begun, ended []string, changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known && set.Revision < v.newest.Revision {
		return nil, nil, false
	}
	begun = missingFrom(v.newest.DataCentres, set.DataCentres)
	ended = missingFrom(set.DataCentres, v.newest.DataCentres)
	changed = !v.known || len(begun)+len(ended) > 0
	v.newest = set
	v.known = true
	return begun, ended, changed
}

// missingFrom returns the names that a list does not contain, in their order.
func missingFrom(list, names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(list, name) })
}

// Newest returns the set in force.
func (v *evacuations) Newest() peer.EvacuatedSet {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest
}

// evacuated returns the data centres whose endpoints get no new requests.
func (v *evacuations) evacuated() map[string]bool {
	set := map[string]bool{}
	for _, dataCentre := range v.Newest().DataCentres {
		set[dataCentre] = true
	}
	return set
}

// count returns the number of evacuated data centres.
func (v *evacuations) count() int64 { return int64(len(v.Newest().DataCentres)) }

// awaited reports whether the process started less than a time ago and does not know of the evacuations yet. Endpoints that
// it used then might be in an evacuated data centre.
func (v *evacuations) awaited(now time.Time, within time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.g != nil && !v.known && now.Sub(v.g.started) < within
}
