package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// event is one change of the store.
type event struct {
	key  string
	item *item // Nil if the key was removed.
	rev  uint64
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	rev      uint64
	items    map[string]item
	history  []event
	changed  chan struct{}
	leases   map[uint64]*lease
	leaseSeq uint64
	address  string

	// silent, if set, is asked when a call comes and when it is answered; true means that the call gets no response and that
	// its channel returns nothing further.
	silent func(r *http.Request) bool
	// renewed, if set, is called after a lease was renewed.
	renewed func(r *http.Request)
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func startStore() *store {
	s := &store{rev: 100, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]*lease{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	s.address = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	go s.expire()
	return s
}

func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) put(key string, value []byte, lease uint64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{key, value, s.rev, created, lease}
	s.items[key] = i
	s.notify(event{key, &i, s.rev})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.notify(event{key, nil, s.rev})
}

func (s *store) notify(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a key for the operator or a server and returns when it is acknowledged.
func (s *store) write(key string, v any) time.Time {
	b, err := json.Marshal(v)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b, 0)
	return time.Now()
}

func (s *store) delete(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	return time.Now()
}

// setSilent sets which calls get no response.
func (s *store) setSilent(silent func(r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *store) isSilent(r *http.Request) bool {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	return silent != nil && silent(r)
}

// setRenewed sets what is called after a lease was renewed.
func (s *store) setRenewed(renewed func(r *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewed = renewed
}

// value returns the value of a key.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	if s.isSilent(r) {
		<-r.Context().Done()
		return
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == names["key"]:
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(404)
			return
		}
		answer(w, 200, struct {
			item
			StoreRevision uint64 `json:"storeRevision"`
		}{i, rev})
	case path == names["range"]:
		s.mu.Lock()
		var list []item
		for _, i := range s.items {
			if strings.HasPrefix(i.Key, q.Get("pathPrefix")) && i.Key > q.Get("after") {
				list = append(list, i)
			}
		}
		rev := s.rev
		s.mu.Unlock()
		sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
		more := len(list) > 500
		if more {
			list = list[:500]
		}
		if list == nil {
			list = []item{}
		}
		answer(w, 200, map[string]any{"entries": list, "hasMore": more, "storeRevision": rev})
	case path == names["watch"]:
		s.watch(w, r)
	case path == names["transaction"]:
		s.txn(w, r)
	case path == names["lease"]:
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.leaseSeq++
		id := s.leaseSeq
		ttl := time.Duration(max(in.TTL, 1000)) * time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, 200, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(path, names["renew"]):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, names["renew"]), 10, 64)
		s.mu.Lock()
		l, ok := s.leases[id]
		if ok {
			l.expires = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(404)
			return
		}
		answer(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
		s.mu.Lock()
		renewed := s.renewed
		s.mu.Unlock()
		if renewed != nil {
			renewed(r)
		}
	case strings.HasPrefix(path, names["lease-end"]):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, names["lease-end"]), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, 200, map[string]any{})
	default:
		w.WriteHeader(404)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.history {
			if e.rev <= after || !strings.HasPrefix(e.key, q.Get("pathPrefix")) {
				continue
			}
			if e.item == nil {
				events = append(events, map[string]any{"key": e.key, "revision": e.rev, "tombstone": true})
				continue
			}
			events = append(events, map[string]any{"key": e.key, "value": e.item.Value, "revision": e.rev, "created": e.item.Created, "lease": e.item.Lease})
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 && s.isSilent(r) {
			<-r.Context().Done()
			return
		}
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-deadline:
			case <-r.Context().Done():
				return
			}
		}
		answer(w, 200, map[string]any{"events": events, "storeRevision": rev})
		return
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectRev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []any
	failed := false
	for _, c := range in.ExpectRev {
		i, ok := s.items[c.Key]
		failed = failed || i.Revision != c.Revision
		if ok {
			conflicts = append(conflicts, i)
		} else {
			conflicts = append(conflicts, map[string]any{"key": c.Key, "revision": 0})
		}
	}
	if failed {
		answer(w, 412, map[string]any{"entries": conflicts, "storeRevision": s.rev})
		return
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(404)
			return
		}
	}
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range in.Remove {
		s.remove(k)
	}
	answer(w, 200, map[string]any{"revision": s.rev})
}

func answer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
