package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "settings-change".
const (
	inFlight    = 4
	changeAfter = 1500 * time.Millisecond // From the SIGTERM to the change of the settings.
)

func init() { cases["settings-change"] = settingsChange }

// settingsChange changes the settings of all routers, and tells them so, while one of them is stopping.
func settingsChange(f *fleet) (broken bool) {
	f.startStore()
	f.write(wire("{configuration}"), configuration(3, []map[string]any{draftRoute("foxtail-writers")}, []map[string]any{modelService("foxtail-writers", 4)}, 0))
	for i := range 3 {
		newServer(fmt.Sprintf("i-7f3a91c%d", i), "foxtail-writers", zones[i], 64, serveDraft).beat(f)
	}
	for n := range 3 {
		f.addRouter(n, 284)
	}
	f.awaitReady(10 * time.Second)
	stopping := f.routers[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range inFlight {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			c := draft(id, middlePath, 543, 4*longEvents)
			f.record.line("stream %s is sent to %s", id, stopping.vm)
			out := c.do(stopping.front)
			f.record.line("stream %s: status %d, %d of %d events in %v, end of the channel: %v", id, out.status, strings.Count(out.body, "data:"), middleEvents, out.took.Round(time.Millisecond), out.err)
			if out.err != nil {
				f.record.line("LOST: the channel of stream %s ended without a complete answer", id)
				mu.Lock()
				broken = true
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.record.line("SIGTERM to %s", stopping.vm)
	_ = stopping.proc.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(changeAfter)
	if trouble {
		for _, r := range f.routers {
			f.changeSettings(r)
		}
	}
	wg.Wait()
	return broken
}

// changeSettings changes the settings file of a router and says so with SIGHUP.
func (f *fleet) changeSettings(r *router) {
	text, err := os.ReadFile(r.settings)
	if err != nil {
		cannot(err)
	}
	if err := os.WriteFile(r.settings, []byte(strings.Replace(string(text), "Slack = 52", "Slack = 50", 1)), 0o600); err != nil {
		cannot(err)
	}
	f.record.line("SIGHUP to %s", r.vm)
	_ = r.proc.cmd.Process.Signal(syscall.SIGHUP)
}
