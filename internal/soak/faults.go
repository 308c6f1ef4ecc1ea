package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/standin"
	platformstandin "github.com/foxtaillanding/foxtaillanding/platform/standin"
)

// fault begins a disturbance and returns what ends it.
type fault struct {
	name  string
	begin func(f *fleet, random *rand.Rand) (end func())
}

func nothing() {}

// onRouter makes a fault of one router.
func onRouter(name string, begin func(f *fleet, r *router, random *rand.Rand) func()) fault {
	return fault{name, func(f *fleet, random *rand.Rand) func() { return begin(f, pick(random, f.routers), random) }}
}

// onStore makes a fault of the store.
func onStore(name string, faults platformstandin.StoreFaults) fault {
	return fault{name, func(f *fleet, _ *rand.Rand) func() {
		tell(f.store.address, standin.FaultsPath, faults)
		return func() { tell(f.store.address, standin.FaultsPath, platformstandin.StoreFaults{}) }
	}}
}

// onServer makes a fault of one server.
func onServer(name string, faults platformstandin.ServerFaults) fault {
	return fault{name, func(f *fleet, random *rand.Rand) func() {
		s := pick(random, f.servers)
		tell(s.proc.address, standin.FaultsPath, faults)
		return func() { tell(s.proc.address, standin.FaultsPath, platformstandin.ServerFaults{}) }
	}}
}

// restarts makes a fault that ends a router by a signal and starts it again.
func restarts(name string, s syscall.Signal) fault {
	return onRouter(name, func(f *fleet, r *router, random *rand.Rand) func() {
		pause := time.Duration(random.IntN(1500)) * time.Millisecond
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.note(f.restart(r, s, pause))
		}()
		return func() { <-done }
	})
}

// onLink makes a fault of one router's path to the store, or of the path to one server.
func onLink(name string, server bool, begin func(l *standin.Link) (end func())) fault {
	return fault{name, func(f *fleet, random *rand.Rand) func() {
		if server {
			return begin(pick(random, f.servers).link)
		}
		return begin(pick(random, f.routers).store)
	}}
}

func cut(l *standin.Link) func() {
	l.Cut(true)
	return func() { l.Cut(false) }
}

func slow(l *standin.Link) func() {
	l.Delay(150 * time.Millisecond)
	return func() { l.Delay(0) }
}

// silence returns a disturbance of a link that holds bytes back.
func silence(m standin.Directions) func(*standin.Link) func() {
	return func(l *standin.Link) func() {
		l.Stall(m)
		return func() { l.Stall(standin.Directions{}) }
	}
}

// faults are the disturbances that a schedule draws from.
var faults = []fault{
	restarts("router killed", syscall.SIGKILL),
	restarts("router stopped", syscall.SIGTERM),
	onRouter("router paused", func(_ *fleet, r *router, _ *rand.Rand) func() {
		r.mu.Lock()
		p := r.proc
		r.mu.Unlock()
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}),
	onRouter("settings reloaded", func(_ *fleet, r *router, _ *rand.Rand) func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.proc.signal(syscall.SIGHUP)
		return nothing
	}),
	{"all routers killed", func(f *fleet, _ *rand.Rand) func() {
		var all sync.WaitGroup
		for _, r := range f.routers {
			all.Go(func() { f.note(f.restart(r, syscall.SIGKILL, 300*time.Millisecond)) })
		}
		return all.Wait
	}},
	onStore("store down", platformstandin.StoreFaults{Down: true}),
	onStore("store busy", platformstandin.StoreFaults{Busy: true}),
	onStore("store slow", platformstandin.StoreFaults{SlowMilliseconds: 250}),
	onStore("store loses answers", platformstandin.StoreFaults{LoseWriteAnswers: 20}),
	onStore("store writes late", platformstandin.StoreFaults{LoseWriteAnswers: 20, LateMilliseconds: 1500}),
	{"store forgets", func(f *fleet, _ *rand.Rand) func() {
		tell(f.store.address, platformstandin.ForgetPath, nil)
		return nothing
	}},
	onLink("store cut from a router", false, cut),
	onLink("store silent to a router", false, silence(standin.Directions{ToTarget: true, FromTarget: true})),
	onLink("store's answers lost to a router", false, silence(standin.Directions{FromTarget: true})),
	onLink("store slow to a router", false, slow),
	onLink("server cut", true, cut),
	onLink("server silent", true, silence(standin.Directions{ToTarget: true, FromTarget: true})),
	onLink("server's answers lost", true, silence(standin.Directions{FromTarget: true})),
	onLink("server slow", true, slow),
	onServer("server fails", platformstandin.ServerFaults{Fail: 30}),
	onServer("server resets", platformstandin.ServerFaults{Reset: 20, Cut: 20}),
	onServer("server full", platformstandin.ServerFaults{Full: 50}),
	onServer("server hangs", platformstandin.ServerFaults{Silent: 10}),
	{"configuration changed", func(f *fleet, _ *rand.Rand) func() {
		f.configure()
		return nothing
	}},
}

// disturb lets faults of a seeded schedule come and go until ctx ends, and heals all of them.
func disturb(ctx context.Context, f *fleet, random *rand.Rand) {
	var open sync.WaitGroup
	for ctx.Err() == nil {
		one := pick(random, faults)
		lasts := time.Duration(200+random.IntN(3000)) * time.Millisecond
		f.say("%s for %v", one.name, lasts)
		end := one.begin(f, random)
		open.Go(func() {
			wait(ctx, lasts)
			end()
		})
		wait(ctx, time.Duration(100+random.IntN(900))*time.Millisecond)
	}
	open.Wait()
	f.heal()
}

// heal ends what an overlapping fault of the same place may have left.
func (f *fleet) heal() {
	tell(f.store.address, standin.FaultsPath, platformstandin.StoreFaults{})
	for _, s := range f.servers {
		tell(s.proc.address, standin.FaultsPath, platformstandin.ServerFaults{})
		healLink(s.link)
	}
	for _, r := range f.routers {
		healLink(r.store)
		r.mu.Lock()
		r.proc.signal(syscall.SIGCONT)
		r.mu.Unlock()
	}
}

func healLink(l *standin.Link) {
	l.Cut(false)
	l.Stall(standin.Directions{})
	l.Delay(0)
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// say writes a line of the run's own log.
func (f *fleet) say(format string, args ...any) {
	if f.cfg.Log != nil {
		_, _ = fmt.Fprintf(f.cfg.Log, format+"\n", args...)
	}
}

// note writes an error of the soak itself.
func (f *fleet) note(err error) {
	if err != nil {
		f.say("%v", err)
	}
}
