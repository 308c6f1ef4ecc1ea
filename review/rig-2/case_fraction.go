package main

import (
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["fraction"] = fraction }

// fraction changes a bound in the settings from 8 to 7.5; later each router is stopped by the platform and started again.
func fraction(w *world) bool {
	w.setUp(3)
	stop := make(chan struct{})
	served := map[bool]int{}
	asked := map[bool]int{}
	restarted := false
	results := make(chan bool, 1<<16)
	wg := w.traffic(stop, map[string]float64{orders: 4, stock: 4, drafts: 2}, func(_ *gateway, _ call, r result) { results <- r.status == 200 && r.whole })
	count := func() {
		for {
			select {
			case ok := <-results:
				asked[restarted]++
				if ok {
					served[restarted]++
				}
			default:
				return
			}
		}
	}
	time.Sleep(4 * time.Second)
	w.bounds["graceS"] = 7.0
	if w.trouble {
		w.bounds["graceS"] = 7.5
	}
	for _, g := range w.gateways {
		w.rewriteSettings(g)
		w.rec.add("platform: the settings of %s change, graceS is %v; SIGHUP", g.name, w.bounds["graceS"])
		g.signal(syscall.SIGHUP)
	}
	time.Sleep(4 * time.Second)
	count()
	broken := false
	for _, g := range w.gateways {
		w.rec.add("platform: SIGTERM to %s", g.name)
		g.signal(syscall.SIGTERM)
		_ = g.cmd.Wait()
		w.rec.add("platform: %s has ended", g.name)
		for try := 1; ; try++ {
			time.Sleep(500 * time.Millisecond)
			w.start(g)
			if w.awaitReady(g, 2*time.Second) {
				w.rec.add("platform: %s is ready after start %d", g.name, try)
				break
			}
			state := "runs, and is not ready"
			if g.cmd.Process.Signal(syscall.Signal(0)) != nil || exited(g) {
				state = "has ended by itself"
			}
			w.rec.add("platform: %s %s after start %d", g.name, state, try)
			if try == 2 {
				broken = true
				if log, err := os.ReadFile(g.logPath); err == nil {
					w.rec.add("the last output of %s: %s", g.name, strings.ReplaceAll(lastLine(log), w.dir+"/", ""))
				}
				break
			}
		}
	}
	count()
	restarted = true
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	count()
	w.rec.add("before: %d of %d requests served; after the restarts: %d of %d", served[false], asked[false], served[true], asked[true])
	return broken
}
