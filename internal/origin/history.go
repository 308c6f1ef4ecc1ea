package origin

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxQuietAge is the age of the oldest copy of a record on which streams begin without telling their homes.
	maxQuietAge = 5 * time.Second
	// retention is how long a version retires before it is removed; above maxQuietAge and the life of a stream together.
	retention = time.Minute
)

const (
	recordPatience = time.Second            // For which streams wait for their version to be recorded if no other one serves.
	recordRetry    = 500 * time.Millisecond // Between two writes of one record.
)

// EndpointVersion is the version of one endpoint as a router sees it.
type EndpointVersion struct {
	Service string
	Version string
	Present bool // Its entry exists; otherwise it is gone, but the router still knows of it.
	Usable  bool // It may get new requests.
}

// History is one router's copy of the records of all services. It decides when to change them, and where streams may begin.
//
// The zero value knows no record. It is safe for concurrent use.
type History struct {
	Delay time.Duration // Before a router that is not the home of a service records a version; set before the first call.

	mu       sync.Mutex
	synced   bool                       // The records that exist are known; guarded by mu.
	services map[string]*serviceHistory // By service; guarded by mu.
}

// serviceHistory is what a router knows of the versions of one service.
type serviceHistory struct {
	record    Record
	revision  uint64    // Of the record in the store; zero if there is none.
	adoptedAt time.Time // When this router learned of the revision.

	view    []string             // Versions of all endpoints that the router knows of, also of those that are gone.
	present []string             // Versions of the endpoints that have an entry or may get requests.
	usable  []string             // Versions of the endpoints that may get requests.
	lost    map[string]time.Time // Versions that the store has forgotten, with the time at which this was seen.
	revived map[string]time.Time // Versions that a router had recorded as retiring and another one no longer, likewise.

	pendingSince time.Time // Since when a version in present is not admitted by the record; zero if all are.
	writtenAt    time.Time // When the record was written last.
}

// Write is a change of the record of a service.
type Write struct {
	Service    string
	Record     Record
	IfRevision uint64
}

// View is what one router knows of the versions of a service.
type View struct {
	Versions []string      // Of the record and of the endpoints, sorted.
	Recorded bool          // There is a record, and it names all versions that served lately.
	Age      time.Duration // Time since the store is known to have had no later record.
}

// service returns the state of a service; mu must be held.
func (h *History) service(name string) *serviceHistory {
	if h.services == nil {
		h.services = map[string]*serviceHistory{}
	}
	s, ok := h.services[name]
	if !ok {
		s = &serviceHistory{lost: map[string]time.Time{}, revived: map[string]time.Time{}}
		h.services[name] = s
	}
	return s
}

// Adopt takes over the record of a service that has a revision in the store, unless an earlier one than is known.
//
// Revision zero stands for a record that the store does not have. It reports whether the record has changed.
func (h *History) Adopt(now time.Time, service string, revision uint64, r Record) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	if revision == s.revision || revision != 0 && revision < s.revision {
		return false
	}
	for _, v := range s.record.Versions {
		if !v.Retiring && !slices.Contains(r.names(), v.Version) {
			s.lost[v.Version] = now // It was not removed as others are, so the store came back from an older copy.
		}
	}
	for _, v := range r.Versions {
		if !v.Retiring && slices.Contains(s.record.Versions, RecordedVersion{v.Version, true}) {
			s.revived[v.Version] = now
		}
	}
	s.record = r
	s.revision = revision
	s.adoptedAt = now
	s.updatePending(now)
	return true
}

// Synced records that the records of these services have been adopted and that there are no others.
func (h *History) Synced(now time.Time, services []string) {
	h.mu.Lock()
	h.synced = true
	var gone []string
	for service, s := range h.services {
		if s.revision != 0 && !slices.Contains(services, service) {
			gone = append(gone, service)
		}
	}
	h.mu.Unlock()
	for _, service := range gone {
		h.Adopt(now, service, 0, Record{})
	}
}

// Observe replaces what is known of the versions of the endpoints.
func (h *History) Observe(now time.Time, endpoints []EndpointVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.services {
		s.view, s.present, s.usable = nil, nil, nil
	}
	for _, e := range endpoints {
		s := h.service(e.Service)
		s.view = append(s.view, e.Version)
		if e.Present || e.Usable {
			s.present = append(s.present, e.Version)
		}
		if e.Usable {
			s.usable = append(s.usable, e.Version)
		}
	}
	for _, s := range h.services {
		s.view, s.present, s.usable = union(s.view), union(s.present), union(s.usable)
		s.updatePending(now)
	}
}

// missing returns the versions that the record has to admit and does not.
func (s *serviceHistory) missing(now time.Time) []string {
	maps.DeleteFunc(s.lost, func(_ string, at time.Time) bool { return now.Sub(at) > retention })
	all := union(s.present, slices.Collect(maps.Keys(s.lost)))
	return slices.DeleteFunc(all, s.record.admits)
}

func (s *serviceHistory) updatePending(now time.Time) {
	switch missing := s.missing(now); {
	case len(missing) == 0:
		s.pendingSince = time.Time{}
	case s.pendingSince.IsZero():
		s.pendingSince = now
	}
}

// Unrecorded reports whether streams must not begin at the endpoints of a version, because the record does not admit it.
//
// They may after all if no version that it admits can serve and the record could not be written for recordPatience; see MustTell.
func (h *History) Unrecorded(now time.Time, service, version string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	if s.record.admits(version) {
		return false
	}
	if slices.ContainsFunc(s.usable, s.record.admits) {
		return true
	}
	return s.pendingSince.IsZero() || now.Sub(s.pendingSince) < recordPatience
}

// Pending reports whether a version waits to be recorded.
func (h *History) Pending() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.services {
		if !s.pendingSince.IsZero() {
			return true
		}
	}
	return false
}

// NextChange returns the earliest time after now at which Unrecorded may answer otherwise although nothing is adopted or
// observed until then, or zero if there is none.
func (h *History) NextChange(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var next time.Time
	consider := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, s := range h.services {
		if s.pendingSince.IsZero() {
			continue
		}
		consider(s.pendingSince.Add(recordPatience))
		for _, at := range s.lost {
			consider(at.Add(retention + 1))
		}
	}
	return next
}

// MustTell reports whether the homes of a service's streams have to be told where these begin: several versions serve it or
// did lately, or this router does not know whether they do, since its copy of the record has an age.
func (h *History) MustTell(age time.Duration, service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	return !h.synced || age > maxQuietAge || !s.pendingSince.IsZero() || len(union(s.view, s.record.names())) > 1
}

// View returns what is known of the versions of a service; the caller sets the age.
func (h *History) View(service string) View {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	lost := slices.Collect(maps.Keys(s.lost))
	return View{Versions: union(s.view, s.record.names(), lost), Recorded: len(s.record.Versions) > 0 && !s.record.Incomplete}
}

// Due returns the changes of records that are to be written now, and counts them as written.
//
// The function isHome reports whether this router is the home of the record of a service. The home records a version at
// once, others after Delay if it has not. Only the home retires a version, once no endpoint that it knows of has it, and
// removes it after retention if the record has not changed meanwhile.
func (h *History) Due(now time.Time, isHome func(service string) bool) []Write {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.synced {
		return nil
	}
	var out []Write
	for _, name := range slices.Sorted(maps.Keys(h.services)) {
		s := h.services[name]
		if now.Sub(s.writtenAt) < recordRetry {
			continue
		}
		if r, ok := s.due(now, isHome(name), h.Delay); ok {
			s.writtenAt = now
			out = append(out, Write{Service: name, Record: r, IfRevision: s.revision})
		}
	}
	return out
}

func (s *serviceHistory) due(now time.Time, home bool, delay time.Duration) (Record, bool) {
	if missing := s.missing(now); len(missing) > 0 {
		return s.record.with(missing), home || !s.pendingSince.IsZero() && now.Sub(s.pendingSince) >= delay
	}
	if !home || len(s.present) == 0 {
		return Record{}, false
	}
	// A version that another router sees again serves, although this one's view may be too old to show it.
	maps.DeleteFunc(s.revived, func(_ string, at time.Time) bool { return now.Sub(at) > retention })
	if r, ok := s.record.retire(union(s.view, slices.Collect(maps.Keys(s.revived)))); ok {
		return r, true
	}
	if now.Sub(s.adoptedAt) < retention {
		return Record{}, false
	}
	return s.record.withoutRetiring()
}
