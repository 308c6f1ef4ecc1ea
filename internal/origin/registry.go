package origin

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	maxKnown = 16384       // Streams that a router knows of; a few megabytes.
	ttl      = time.Minute // How long a stream is known after it was last heard of; above the deadlines of streams.
)

// Origin says where a stream began.
type Origin struct {
	Stream  string // ID of the request that brought its first event.
	Service string
	Version string // Software version of the endpoint.
}

// Registry holds the origins that one router knows. The zero value is empty. It is safe for concurrent use.
type Registry struct {
	mu     sync.Mutex
	known  *simplelru.LRU[string, knownOrigin] // By stream ID; guarded by mu.
	open   map[string]*openStream              // By stream ID; guarded by mu.
	served servedStreams                       // Guarded by mu.
}

type knownOrigin struct {
	Origin

	at time.Time // When it was last heard of.
}

// openStream is a stream that this router serves, or that ended here and may still have to be told.
type openStream struct {
	Origin

	ended  bool
	told   []string  // Routers that were told.
	toldAt time.Time // When they were told.
}

// Sent records that the request of a new stream is sent to an endpoint, at which it begins if an event comes.
func (r *Registry) Sent(o Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served.sent(o)
}

// Began records that a stream began, or goes on, at this router. It reports whether a Row of this router may name another
// version, where the request was sent before.
func (r *Registry) Began(now time.Time, o Origin) (corrects bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learn(now, o)
	if r.open == nil {
		r.open = map[string]*openStream{}
	}
	r.open[o.Stream] = &openStream{Origin: o}
	return r.served.began(o)
}

// Completed records that a stream which this router serves has reached its end, so that callers hardly take it up.
func (r *Registry) Completed(stream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served.completed(stream)
}

// Ended records that this router serves a stream no longer. If it began, its origin stays known, since the caller may take
// it up.
func (r *Registry) Ended(stream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.open[stream]; ok {
		s.ended = true
	}
	r.served.ended(stream)
}

// Changes returns a number that rises with each stream that is added to the Row or has another version there.
func (r *Registry) Changes() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served.changes
}

// Row returns where the streams began that this router serves, or served a moment ago, or where those begin whose first
// event has not come, of the services for which needed reports true.
func (r *Registry) Row(now time.Time, needed func(service string) bool) Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served.row(now, needed)
}

// Learn records origins that another router told.
func (r *Registry) Learn(now time.Time, origins []Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range origins {
		r.learn(now, o)
	}
}

// learn adds an origin; mu must be held. What is known of a stream takes precedence over what is told later.
func (r *Registry) learn(now time.Time, o Origin) {
	if r.known == nil {
		r.known, _ = simplelru.NewLRU[string, knownOrigin](maxKnown, nil)
	}
	if before, ok := r.find(now, o.Stream); ok {
		o = before
	}
	r.known.Add(o.Stream, knownOrigin{o, now})
}

// Find returns the origin of a stream and whether it is known.
func (r *Registry) Find(now time.Time, stream string) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.find(now, stream)
}

func (r *Registry) find(now time.Time, stream string) (Origin, bool) {
	if s, ok := r.open[stream]; ok {
		return s.Origin, true
	}
	if r.known == nil {
		return Origin{}, false
	}
	k, ok := r.known.Peek(stream)
	if !ok || now.Sub(k.at) > ttl {
		return Origin{}, false
	}
	return k.Origin, true
}

// Untold returns the origins of the streams in flight that their homes still have to be told, by router, and counts them as
// told. It forgets the streams that have ended.
//
// Only streams of services for which needed reports true are told. The function homes returns the routers to tell of a stream.
func (r *Registry) Untold(now time.Time, needed func(service string) bool, homes func(stream string) []string) map[string][]Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	batches := map[string][]Origin{}
	neededFor := map[string]bool{}
	for id, s := range r.open {
		if s.ended {
			delete(r.open, id)
		}
		need, checked := neededFor[s.Service]
		if !checked {
			need = needed(s.Service)
			neededFor[s.Service] = need
		}
		if !need {
			continue
		}
		if now.Sub(s.toldAt) > ttl/2 {
			s.told = nil
		}
		for _, home := range homes(id) {
			if slices.Contains(s.told, home) {
				continue
			}
			batches[home] = append(batches[home], s.Origin)
			s.told = append(s.told, home)
			s.toldAt = now
		}
	}
	return batches
}
