package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crash"] = crash }

const crashing = stock + "crash/" // Path of the request that crashes each server that begins to run it.

// crash sends a request that crashes servers, again and again; all router processes are killed three times meanwhile.
func crash(w *world) bool {
	var mu sync.Mutex
	var arrivals []time.Time
	w.onServer = func(s *server) {
		s.handle = func(_ http.ResponseWriter, r *http.Request, run *run) bool {
			if !strings.HasPrefix(r.URL.Path, crashing) {
				return false
			}
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			w.rec.add("server %s: crashes, as it begins to run %s", s.id, run.id)
			go func() {
				s.stop(true)
				time.Sleep(2 * time.Second)
				w.addServer(s.service, s.zone, s.slots) // It is back, as a new incarnation.
			}()
			<-r.Context().Done()
			return true
		}
	}
	w.setUp(3)
	stop := make(chan struct{})
	wg := w.traffic(stop, map[string]float64{orders: 3, stock: 3}, nil)
	time.Sleep(6 * time.Second)
	const rounds = 4
	for round := range rounds {
		for i := range 4 { // The request comes again, at any machine.
			r := w.send(w.gateways[i%len(w.gateways)], call{kind: crashing})
			w.rec.add("client: the crashing request got %d", r.status)
			time.Sleep(time.Second)
		}
		if w.trouble && round < rounds-1 {
			w.rec.add("platform: all routers are killed")
			for _, g := range w.gateways {
				g.signal(syscall.SIGKILL)
				_ = g.cmd.Wait()
			}
			time.Sleep(time.Second)
			for _, g := range w.gateways {
				w.start(g)
			}
			for _, g := range w.gateways {
				if !w.awaitReady(g, 10*time.Second) {
					check(errNotReady)
				}
			}
		}
		time.Sleep(contact + 2*time.Second)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i, at := range arrivals {
		if i > 2 && at.Sub(arrivals[2]) > contact {
			late++
		}
	}
	w.rec.add("the crashing request reached servers %d times, %d of them later than contactMs after the third crash", len(arrivals), late)
	return late > 3
}
