package gateway

import (
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/admission"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// Times between two observations of the overload.
const (
	admissionPeriod     = 50 * time.Millisecond  // While overloaded or closed; also between two attempts to open the listener again.
	admissionIdlePeriod = 200 * time.Millisecond // Otherwise; an overload is then known within 0.2 s, so that callers still move within a second.
)

// listenerControl closes the listener for callers while the router is overloaded, and opens it again.
//
// Without Features.RefuseConnections it controls no listener and decides nothing.
type listenerControl struct {
	g        *Gateway
	ticker   decision.Ticker
	isClosed atomic.Bool

	mu          sync.Mutex
	listener    *reopeningListener   // Nil if the listener is not controlled; guarded by mu.
	controller  admission.Controller // Guarded by mu.
	closedAt    time.Time            // When the listener was last closed; guarded by mu.
	closedTotal time.Duration        // Time for which it was closed before; guarded by mu.
}

func (l *listenerControl) setup(g *Gateway) {
	l.g = g
	l.ticker = decision.Ticker{Busy: admissionPeriod, Idle: admissionIdlePeriod}
	l.controller.VM = g.cfg.Settings.VM
}

// controlFront returns a listener to serve in place of the given one, which closes under overload if it is that for callers and the
// deployment calls for it.
func (g *Gateway) controlFront(name string, ln net.Listener) net.Listener {
	if name != frontListener || !g.cfg.Features.RefuseConnections {
		return ln
	}
	return g.admission.control(ln)
}

// control returns a listener to serve in place of the one for callers.
func (l *listenerControl) control(ln net.Listener) net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = newReopeningListener(ln)
	return l.listener
}

// closed reports whether the listener is closed.
func (l *listenerControl) closed() bool { return l.isClosed.Load() }

// loaded reports whether the directory is to send few callers to this router, because its listener is or was closed.
func (l *listenerControl) loaded(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.Loaded(now)
}

func (l *listenerControl) closedGauge() int64 {
	if l.closed() {
		return 1
	}
	return 0
}

// closedSeconds returns the time for which the listener was closed since the start.
func (l *listenerControl) closedSeconds(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.closedTotal
	if l.closed() {
		total += now.Sub(l.closedAt)
	}
	return total.Seconds()
}

// tick passes the state of this router to the controller and reports whether the controller waits for time to pass.
func (l *listenerControl) tick(now time.Time) (busy bool) {
	if !l.g.cfg.Features.RefuseConnections {
		return false
	}
	state := l.g.overload.state(now)
	observed := admission.Observed{
		LinkExcess:    state.LinkExcess,
		ProcessorLate: state.ProcessorLate,
		Configured:    l.g.table.Load() != nil,
		Draining:      l.g.draining(),
	}
	if state.Late {
		observed.Routers = localLive(l.g.members.All(), l.g.cfg.Settings.DataCentre)
	}
	l.handle(now, observed)
	return state.Late || l.closed()
}

// localLive returns the live routers of a data centre.
func localLive(members []fleet.Member, dataCentre string) []admission.Router {
	var routers []admission.Router
	for _, m := range members {
		if m.State == fleet.Alive && m.DataCentre == dataCentre {
			routers = append(routers, admission.Router{VM: m.VM, Size: m.Size, Closed: m.Closed})
		}
	}
	return routers
}

// handle passes an event to the controller and carries out its actions.
func (l *listenerControl) handle(now time.Time, ev admission.Event) {
	if l.apply(now, ev) {
		l.g.background(func() { l.g.members.announceSelf(time.Now()) })
	}
}

// apply passes an event to the controller and carries out its actions. It reports whether the listener was closed or opened.
func (l *listenerControl) apply(now time.Time, ev admission.Event) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return false
	}
	for _, action := range l.controller.Handle(now, ev) {
		switch action := action.(type) {
		case admission.Close:
			l.close(now, action)
			changed = true
		case admission.Open:
			changed = l.open(now, action)
		case admission.KeepOpen:
			l.g.log.Info("listener kept open", append(l.loadFields(now), zap.String("Reason", string(action.Reason)))...)
		}
	}
	return changed
}

// close closes the listener; mu must be held. The router is reported as not ready before it refuses connections.
func (l *listenerControl) close(now time.Time, action admission.Close) {
	l.isClosed.Store(true)
	l.closedAt = now
	err := l.listener.suspend()
	l.g.log.Warn("listener closed", append(l.loadFields(now), zap.Duration("OverloadedFor", action.OverloadedFor), zap.Int("Routers", action.Routers),
		zap.Float64("Capacity", math.Round(action.Capacity)), zap.Float64("ClosedCapacity", math.Round(action.ClosedCapacity)))...)
	if err != nil {
		l.g.log.Warn("listener not closed cleanly", logfile.Error(err))
	}
}

// open opens the listener and reports whether that succeeded; mu must be held.
func (l *listenerControl) open(now time.Time, action admission.Open) bool {
	if err := l.listener.resume(); err != nil {
		l.g.log.Warn("listener not opened", zap.Int("Attempt", action.Attempt), zap.Duration("ClosedFor", action.ClosedFor), logfile.Error(err))
		return false
	}
	l.controller.Handle(now, admission.Opened{})
	l.closedTotal += now.Sub(l.closedAt)
	l.isClosed.Store(false)
	l.g.log.Warn("listener opened", append(l.loadFields(now), zap.String("Reason", string(action.Reason)), zap.Duration("ClosedFor", action.ClosedFor),
		zap.Int("Attempt", action.Attempt))...)
	return true
}

// loadFields returns the figures of the overload for the log.
func (l *listenerControl) loadFields(now time.Time) []zap.Field {
	o := l.g.overload.state(now)
	return []zap.Field{
		zap.Float64("LinkExcess", o.LinkExcess), zap.Bool("ProcessorLate", o.ProcessorLate), zap.Duration("Wait", l.g.overload.lastWait().P95),
		zap.Float64("Rate", math.Round(o.Rate)), zap.Float64("BytesPerSecond", math.Round(o.BytesPerSecond)), zap.Int64("InFlight", l.g.inFlight.Load()),
	}
}
