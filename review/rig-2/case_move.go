package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["move"] = move }

// span is the time for which a server works on a request.
type span struct {
	server     string
	begin, end time.Time
}

// move lets one engine preempt its streams for a while. Unlike most, it works on when the channel of a request closes.
func move(w *world) bool {
	var mu sync.Mutex
	spans := map[string][]*span{}
	var slowUntil time.Time
	var slow *server // The engine that pauses.
	engine := func(s *server) func(http.ResponseWriter, *http.Request, *run) bool {
		return func(rw http.ResponseWriter, r *http.Request, run *run) bool {
			work := &span{server: s.id, begin: time.Now()}
			mu.Lock()
			spans[run.id] = append(spans[run.id], work)
			mu.Unlock()
			rw.Header().Set(names["seal"], "seal."+s.id)
			rw.Header().Set("Content-Type", "text/event-stream")
			first, hasPaused := 1, false
			if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
				first = n + 1
			}
			for n := first; n <= s.events; n++ {
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				paused := slow == s && time.Now().Before(slowUntil)
				mu.Unlock()
				if paused && n >= 10 && !hasPaused {
					hasPaused = true
					time.Sleep(2500 * time.Millisecond)
				}
				fmt.Fprintf(rw, "id: %d\ndata: piece %d of the stream\n\n", n, n)
				rw.(http.Flusher).Flush()
			}
			mu.Lock()
			work.end = time.Now()
			mu.Unlock()
			w.rec.add("server %s: has made the last piece of stream %s", s.id, run.id)
			return true
		}
	}
	w.onServer = func(s *server) {
		if s.service == "engines" {
			s.handle = engine(s)
		}
	}
	w.setUp(3)
	stop := make(chan struct{})
	wg := w.traffic(stop, map[string]float64{drafts: 6}, nil)
	time.Sleep(6 * time.Second)
	if w.trouble {
		mu.Lock()
		for _, s := range w.servers {
			if s.service == "engines" && (slow == nil || s.busy.Load() > slow.busy.Load()) {
				slow = s
			}
		}
		slowUntil = time.Now().Add(4 * time.Second)
		w.rec.add("server %s, which has the most streams, preempts streams for 4 s", slow.id)
		mu.Unlock()
	}
	time.Sleep(10 * time.Second)
	close(stop)
	wg.Wait()
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	n := 0
	for id, list := range spans {
		for i := 1; i < len(list); i++ {
			if over := list[i-1].end.Sub(list[i].begin); over > 400*time.Millisecond {
				n++
				w.rec.add("TWICE: stream %s went on at %s while %s still worked on it for %d ms", id, list[i].server, list[i-1].server, over.Milliseconds())
			}
		}
	}
	return n > 0
}
