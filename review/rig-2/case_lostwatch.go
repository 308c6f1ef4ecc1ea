package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["lostwatch"] = lostWatch }

// setUp starts a small deployment: routers in three zones, servers of two services.
func (w *world) setUp(gateways int) {
	zones := []string{"kal-north", "kal-south", "boulder-west"}
	for _, z := range zones {
		w.addServer("engines", z, 64)
		w.addServer("counter", z, 6)
	}
	w.configure("counter")
	for i := range gateways {
		w.addGateway(zones[i%len(zones)])
	}
	for _, g := range w.gateways {
		w.start(g)
	}
	for _, g := range w.gateways {
		if !w.awaitReady(g, 10*time.Second) {
			check(errNotReady)
		}
	}
}

// traffic sends requests of each kind to all routers until stop is closed.
func (w *world) traffic(stop <-chan struct{}, perSecond map[string]float64, each func(*gateway, call, result)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, g := range w.gateways {
		for kind, rate := range perSecond {
			wg.Add(1)
			go func() {
				defer wg.Done()
				t := time.NewTicker(time.Duration(float64(time.Second) / rate))
				defer t.Stop()
				for {
					select {
					case <-stop:
						return
					case <-t.C:
					}
					wg.Add(1)
					go func() {
						defer wg.Done()
						c := call{kind: kind}
						r := w.send(g, c)
						if each != nil {
							each(g, c, r)
						}
					}()
				}
			}()
		}
	}
	return &wg
}

// silentFor is the time for which the store gives one machine no response.
const silentFor = 1500 * time.Millisecond

// lostWatch lets the store give one router no response for a moment, in which a server is added. Later, with the router in
// touch, a server leaves.
func lostWatch(w *world) bool {
	w.setUp(3)
	var mu sync.Mutex
	var lost []string
	stop := make(chan struct{})
	wg := w.traffic(stop, map[string]float64{drafts: 4, orders: 12, stock: 4}, func(_ *gateway, c call, r result) {
		if c.kind != orders || r.status == 200 {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if ran := w.runsOf(r.id); len(ran) > 0 {
			lost = append(lost, r.id)
			w.rec.add("order %s began at %v and its client got %d", r.id, ran, r.status)
		}
	})
	time.Sleep(8 * time.Second)
	w.addServer("counter", "kal-north", 6) // Planned work: empty servers are added.
	time.Sleep(1500 * time.Millisecond)
	victim := w.gateways[1]
	renewal := make(chan struct{}, 1)
	w.store.setRenewed(func(r *http.Request) {
		if victim.proxy.owns(r.RemoteAddr) {
			select {
			case renewal <- struct{}{}:
			default:
			}
		}
	})
	<-renewal
	w.store.setRenewed(nil)
	began := time.Now()
	if w.trouble {
		w.rec.add("store: gives %s no response for %v", victim.name, silentFor)
		w.store.setSilent(func(r *http.Request) bool { return victim.proxy.owns(r.RemoteAddr) })
	}
	time.Sleep(200 * time.Millisecond)
	w.addServer("counter", "boulder-west", 6)
	time.Sleep(silentFor - 200*time.Millisecond)
	w.store.setSilent(nil)
	w.rec.add("store: answers all calls again")
	time.Sleep(time.Until(began.Add(silentFor + contact + 500*time.Millisecond)))
	leaving := w.servers[3]
	acked := leaving.drain()
	late := 0
	leaving.setOnArrival(func(id string) {
		if over := time.Since(acked); over > drainMs*time.Millisecond {
			mu.Lock()
			defer mu.Unlock()
			late++
			w.rec.add("DRAIN: request %s reaches %s %d ms after its leaving was acknowledged", id, leaving.id, over.Milliseconds())
		}
	})
	time.Sleep(drainMs*time.Millisecond + 3*time.Second)
	for until := time.Now().Add(2 * time.Second); leaving.busy.Load() == 0 && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	leaving.stop(true)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.rec.add("%d requests reached the leaving server too late; %d orders began at a server and were not answered 200", late, len(lost))
	return late > 0
}
