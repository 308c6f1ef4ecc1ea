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

// fault is a kind of fault that a schedule can inject; begin injects it and returns a function that ends it.
type fault struct {
	name  string // As written to the log of the run.
	begin func(f *fleet, random *rand.Rand) (end func())
}

// noop ends a fault that has no duration.
func noop() {}

// routerFault returns a fault of a random router.
func routerFault(name string, begin func(f *fleet, r *router, random *rand.Rand) func()) fault {
	return fault{name, func(f *fleet, random *rand.Rand) func() { return begin(f, pick(random, f.routers), random) }}
}

// storeFault returns a fault of the store stand-in.
func storeFault(name string, faults platformstandin.StoreFaults) fault {
	return fault{name, func(f *fleet, _ *rand.Rand) func() {
		putJSON(f.store.address, standin.FaultsPath, faults)
		return func() { putJSON(f.store.address, standin.FaultsPath, platformstandin.StoreFaults{}) }
	}}
}

// serverFault returns a fault of a random server.
func serverFault(name string, faults platformstandin.ServerFaults) fault {
	return fault{name, func(f *fleet, random *rand.Rand) func() {
		s := pick(random, f.servers)
		putJSON(s.proc.address, standin.FaultsPath, faults)
		return func() { putJSON(s.proc.address, standin.FaultsPath, platformstandin.ServerFaults{}) }
	}}
}

// restartFault returns a fault that ends a random router by a signal and starts it again after a random pause.
func restartFault(name string, s syscall.Signal) fault {
	return routerFault(name, func(f *fleet, r *router, random *rand.Rand) func() {
		pause := time.Duration(random.IntN(1500)) * time.Millisecond
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.logError(f.restart(r, s, pause))
		}()
		return func() { <-done }
	})
}

// linkFault returns a fault of the link to a random server, or of the link from a random router to the store.
func linkFault(name string, server bool, begin func(l *standin.Link) (end func())) fault {
	return fault{name, func(f *fleet, random *rand.Rand) func() {
		if server {
			return begin(pick(random, f.servers).link)
		}
		return begin(pick(random, f.routers).store)
	}}
}

// cutLink begins a fault that cuts a link.
func cutLink(l *standin.Link) func() {
	l.Cut(true)
	return func() { l.Cut(false) }
}

// delayLink begins a fault that delays a link.
func delayLink(l *standin.Link) func() {
	l.Delay(150 * time.Millisecond)
	return func() { l.Delay(0) }
}

// stallLink returns the begin function of a fault that stalls a link in the given directions.
func stallLink(d standin.Directions) func(*standin.Link) func() {
	return func(l *standin.Link) func() {
		l.Stall(d)
		return func() { l.Stall(standin.Directions{}) }
	}
}

// faults lists the faults that a schedule draws from; a seed depends on their order.
var faults = []fault{
	restartFault("router killed", syscall.SIGKILL),
	restartFault("router stopped", syscall.SIGTERM),
	routerFault("router paused", func(_ *fleet, r *router, _ *rand.Rand) func() {
		p := r.process()
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}),
	routerFault("settings reloaded", func(_ *fleet, r *router, _ *rand.Rand) func() {
		r.signal(syscall.SIGHUP)
		return noop
	}),
	{"all routers killed", func(f *fleet, _ *rand.Rand) func() {
		var wg sync.WaitGroup
		for _, r := range f.routers {
			wg.Go(func() { f.logError(f.restart(r, syscall.SIGKILL, 300*time.Millisecond)) })
		}
		return wg.Wait
	}},
	storeFault("store down", platformstandin.StoreFaults{Down: true}),
	storeFault("store busy", platformstandin.StoreFaults{Busy: true}),
	storeFault("store slow", platformstandin.StoreFaults{SlowMilliseconds: 250}),
	storeFault("store loses responses", platformstandin.StoreFaults{LoseWriteAnswers: 20}),
	storeFault("store writes late", platformstandin.StoreFaults{LoseWriteAnswers: 20, LateMilliseconds: 1500}),
	{"store history dropped", func(f *fleet, _ *rand.Rand) func() {
		putJSON(f.store.address, platformstandin.ForgetPath, nil)
		return noop
	}},
	linkFault("store cut from a router", false, cutLink),
	linkFault("store stalled for a router", false, stallLink(standin.Directions{ToTarget: true, FromTarget: true})),
	linkFault("store responses stalled for a router", false, stallLink(standin.Directions{FromTarget: true})),
	linkFault("store delayed for a router", false, delayLink),
	linkFault("server cut", true, cutLink),
	linkFault("server stalled", true, stallLink(standin.Directions{ToTarget: true, FromTarget: true})),
	linkFault("server responses stalled", true, stallLink(standin.Directions{FromTarget: true})),
	linkFault("server delayed", true, delayLink),
	serverFault("server fails", platformstandin.ServerFaults{Fail: 30}),
	serverFault("server resets", platformstandin.ServerFaults{Reset: 20, Cut: 20}),
	serverFault("server full", platformstandin.ServerFaults{Full: 50}),
	serverFault("server hangs", platformstandin.ServerFaults{Silent: 10}),
	{"configuration changed", func(f *fleet, _ *rand.Rand) func() {
		f.configure()
		return noop
	}},
}

// injectFaults injects overlapping faults of a list in a random schedule until ctx ends.
func injectFaults(ctx context.Context, f *fleet, list []fault, random *rand.Rand) {
	var active sync.WaitGroup
	for ctx.Err() == nil {
		chosen := pick(random, list)
		duration := time.Duration(200+random.IntN(3000)) * time.Millisecond
		f.logf("%s for %v", chosen.name, duration)
		end := chosen.begin(f, random)
		active.Go(func() {
			sleep(ctx, duration)
			end()
		})
		sleep(ctx, time.Duration(100+random.IntN(900))*time.Millisecond)
	}
	active.Wait()
}

// pauses lists the faults of the schedule that runs beside the first one on request.
//
// A paused server has accepted its connections and what was sent on them, and
// runs it when it goes on, though the routers have given up.
var pauses = []fault{
	{"server paused", func(f *fleet, random *rand.Rand) func() {
		s := pick(random, f.servers)
		s.proc.signal(syscall.SIGSTOP)
		return func() { s.proc.signal(syscall.SIGCONT) }
	}},
	serverFault("server full, repeats responses", platformstandin.ServerFaults{Full: 40, Repeat: 20}),
	routerFault("settings of a ready router reloaded", func(_ *fleet, r *router, _ *rand.Rand) func() {
		if isReady(r) {
			r.signal(syscall.SIGHUP)
		}
		return noop
	}),
}

// injectAll injects faults until ctx ends, then clears all of them.
func injectAll(ctx context.Context, f *fleet, random *rand.Rand) {
	var beside sync.WaitGroup
	if f.cfg.Pauses {
		own := rand.New(rand.NewPCG(f.cfg.Seed, random.Uint64())) // The two schedules draw at the same time.
		beside.Go(func() { injectFaults(ctx, f, pauses, own) })
	}
	injectFaults(ctx, f, faults, random)
	beside.Wait()
	f.clearFaults()
}

// clearFaults clears all faults, since overlapping faults of one target may have left some behind.
func (f *fleet) clearFaults() {
	putJSON(f.store.address, standin.FaultsPath, platformstandin.StoreFaults{})
	for _, s := range f.servers {
		s.proc.signal(syscall.SIGCONT)
		putJSON(s.proc.address, standin.FaultsPath, platformstandin.ServerFaults{})
		restoreLink(s.link)
	}
	for _, r := range f.routers {
		restoreLink(r.store)
		r.signal(syscall.SIGCONT)
	}
}

func restoreLink(l *standin.Link) {
	l.Cut(false)
	l.Stall(standin.Directions{})
	l.Delay(0)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// logf writes a line to the log of the run.
func (f *fleet) logf(format string, args ...any) {
	if f.cfg.Log != nil {
		_, _ = fmt.Fprintf(f.cfg.Log, format+"\n", args...)
	}
}

// logError writes an error of the soak itself to the log of the run; nil is ignored.
func (f *fleet) logError(err error) {
	if err != nil {
		f.logf("%v", err)
	}
}
