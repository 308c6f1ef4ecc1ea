package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The case "late-rejection". The shares are those of the kinds "srv_grey" and "garble".
const (
	orderSlots    = 6
	orderWork     = 60 * time.Millisecond
	orderPeriod   = 30 * time.Millisecond // Between two orders.
	orderTime     = 75 * time.Second
	orderDeadline = 1500 * time.Millisecond
	shedShare     = 0.4  // Of the requests are rejected, as by a server that is full.
	extraShare    = 0.03 // Of the answers are sent a second time, where the next answer is expected.
)

func init() { cases["late-rejection"] = lateRejection }

// serveOrder runs an order or rejects it. Now and then it sends an answer again where the next one is expected.
func serveOrder(s *server, ch *channel, r *http.Request) bool {
	id := r.Header.Get(wire("{request-id}"))
	if _, err := ch.Write(ch.late); err != nil {
		return false
	}
	ch.late = nil
	answer := rejected(id)
	if !trouble || rand.Float64() >= shedShare {
		s.run(id)
		time.Sleep(time.Duration(float64(orderWork) * (0.5 + rand.Float64())))
		answer = sealed(id, "order placed: "+id)
	}
	if _, err := ch.Write([]byte(answer)); err != nil {
		return false
	}
	if trouble && rand.Float64() < extraShare {
		ch.late = []byte(answer)
	}
	return true
}

// lateRejection places orders at a server that rejects part of them and sends a few of its answers twice.
func lateRejection(f *fleet) (broken bool) {
	f.startStore()
	f.write(wire("{configuration}"), configuration(3, []map[string]any{orderRoute("counter-app")}, []map[string]any{plainService("counter-app")}, 0))
	s := newServer("i-7f3a91c2", "counter-app", zones[0], orderSlots, serveOrder)
	s.beat(f)
	for n := range 3 {
		f.addRouter(n, 284)
	}
	f.awaitReady(10 * time.Second)
	var mu sync.Mutex
	answers := map[string]result{}
	var wg sync.WaitGroup
	for i := range int(orderTime / orderPeriod) {
		c := call{id: fmt.Sprintf("%08x%08x", rand.Uint32(), i), method: http.MethodPost, path: "/puxa403/2f", body: "charm link, silver", deadline: orderDeadline}
		address := f.routers[i%len(f.routers)].front
		wg.Go(func() {
			out := c.do(address)
			mu.Lock()
			defer mu.Unlock()
			answers[c.id] = out
		})
		time.Sleep(orderPeriod)
	}
	wg.Wait()
	time.Sleep(time.Second)
	seen := map[string]int{}
	for id, out := range answers {
		runs := s.count(id)
		f.record.line("order %s was sent, answered %d after %v, and run %d times", id, out.status, out.took.Round(time.Millisecond), runs)
		seen[fmt.Sprintf("answered %d, run %d times", out.status, runs)]++
		if runs > 1 {
			f.record.line("TWICE: order %s was run %d times; it was answered %d %s", id, runs, out.status, out.body)
		}
		if promisesNotRun(out.status) && runs > 0 {
			broken = true
			f.record.line("REFUSED: order %s was run %d times; it was answered %d %s", id, runs, out.status, out.body)
		}
	}
	for name, n := range seen {
		f.record.line("%d orders were %s", n, name)
	}
	return broken
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}
