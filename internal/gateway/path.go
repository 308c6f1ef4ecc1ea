package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/reach"
)

// Periods of the ticks of the path.
const (
	pathTickPeriod = 100 * time.Millisecond // While requests are in flight or the path is lost.
	pathIdlePeriod = 5 * time.Second        // Otherwise nothing waits for time to pass.
)

var errNoAddress = errors.New("the endpoint is not configured any more")

// path runs the monitor that decides whether this router reaches the endpoints; it implements request.Path.
type path struct {
	g      *Gateway
	ticker decision.Ticker
	isLost atomic.Bool
	probes atomic.Int64 // Number of probes sent.

	mu      sync.Mutex
	monitor reach.Monitor // Guarded by mu.
	judged  chan struct{} // Closed when the running round of probes ends; nil if none runs; guarded by mu.
}

func (p *path) setup(g *Gateway) {
	p.g = g
	p.monitor.Seed = uint64(g.started.UnixNano())
	p.ticker = decision.Ticker{Busy: pathTickPeriod, Idle: pathIdlePeriod}
}

// pathLost reports whether this router reaches no endpoint.
func (g *Gateway) pathLost(time.Time) bool { return g.path.isLost.Load() }

func (p *path) lostGauge() int64 {
	if p.isLost.Load() {
		return 1
	}
	return 0
}

// configure sets the endpoints that probes may go to.
func (p *path) configure(now time.Time, configs []placement.EndpointConfig) {
	var names []string
	for _, cfg := range configs {
		if !cfg.Leaving {
			names = append(names, cfg.Name)
		}
	}
	p.Observe(now, reach.Configured{Endpoints: names})
}

// tick lets time pass and reports whether the monitor waits for it to pass.
func (p *path) tick(now time.Time) (busy bool) {
	p.Observe(now, reach.Tick{})
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.monitor.Busy()
}

// Observe implements request.Path.
func (p *path) Observe(now time.Time, ev reach.Event) {
	p.mu.Lock()
	actions := p.monitor.Handle(now, ev)
	changed := p.apply(now, actions)
	p.mu.Unlock()
	if _, ok := ev.(reach.Sent); ok {
		p.ticker.Wake()
	}
	for _, action := range actions {
		if probe, ok := action.(reach.Probe); ok {
			p.g.background(func() { p.probe(probe) })
		}
	}
	if changed {
		p.ticker.Wake()
		p.g.background(func() { p.g.members.announceSelf(time.Now()) })
	}
}

// apply carries out the actions that must keep their order, and reports whether the path was lost or restored; mu must be
// held.
func (p *path) apply(now time.Time, actions []reach.Action) (changed bool) {
	for _, action := range actions {
		switch action := action.(type) {
		case reach.Probe:
			if p.judged == nil && action.Round > 0 {
				p.judged = make(chan struct{})
			}
		case reach.Judged:
			if p.judged != nil {
				close(p.judged)
			}
			p.judged = nil
		case reach.Lost:
			changed = true
			p.isLost.Store(true)
			p.g.log.Warn("path lost", zap.Any("Evidence", action.Evidence), zap.Duration("FirstFailure", now.Sub(action.Since)))
			p.g.endpoints.Handle(now, endpoint.PathLost{Since: action.Since})
		case reach.Restored:
			changed = true
			p.isLost.Store(false)
			p.g.log.Info("path restored", zap.String("Endpoint", action.Endpoint), zap.Duration("After", action.After))
			p.g.endpoints.Handle(now, endpoint.PathRestored{})
		}
	}
	return changed
}

// probe opens a connection to an endpoint and closes it.
func (p *path) probe(probe reach.Probe) {
	result := reach.Opened
	if err := p.connect(probe.Endpoint); err != nil {
		result = reach.Failed
		if !connection.IsRefused(err) && p.g.overload.isLate(time.Now()) {
			result = reach.Inconclusive
		}
		p.g.log.Debug("probe failed", zap.String("Endpoint", probe.Endpoint), zap.Stringer("Result", result), logfile.Error(err))
	}
	p.Observe(time.Now(), reach.Probed{Endpoint: probe.Endpoint, Round: probe.Round, Result: result})
}

func (p *path) connect(name string) error {
	address, ok := p.g.endpoints.Address(name)
	if !ok {
		return errNoAddress
	}
	p.probes.Add(1)
	return connection.Probe(address, reach.ProbeTimeout)
}

// Cut implements request.Path.
//
// Connections that break at several endpoints at once are no fault of an endpoint that accepts new ones.
func (p *path) Cut(now time.Time, name string) bool {
	p.Observe(now, reach.Broke{Endpoint: name})
	if !p.isLost.Load() {
		decision.Pause(reach.BreakSettleTime, p.g.stop)
		p.Observe(time.Now(), reach.Judge{})
	}
	p.mu.Lock()
	judged := p.judged
	several := p.monitor.SeveralBroke(name)
	p.mu.Unlock()
	if judged != nil {
		decision.Pause(2*reach.ProbeTimeout, judged)
	}
	p.mu.Lock()
	cut := p.monitor.Cut()
	p.mu.Unlock()
	return cut || several && p.connect(name) == nil
}
