package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// observeCold notes for how long the entry of an endpoint says that it is cold. Late and repeated entries do not shorten it.
func (ep *trackedEndpoint) observeCold(now time.Time) {
	if until := now.Add(ep.ColdFor); ep.ColdFor > 0 && until.After(ep.coldUntil) {
		ep.coldUntil = until
	}
}

// describeCold sets what the pool needs to know about the endpoint while it is cold.
func (ep *trackedEndpoint) describeCold(now time.Time, s *route.Service, spec *endpoint.Endpoint) {
	spec.ColdRate = s.ColdRate
	spec.ColdFor = s.ColdFor
	spec.ColdLeft = max(0, ep.coldUntil.Sub(now))
}

// coldTime returns the time for which the service of an endpoint says that its endpoints are cold after their start.
func (e *entries) coldTime(name string) time.Duration {
	t := e.g.table.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	ep, ok := e.tracked[name]
	if t == nil || !ok {
		return 0
	}
	s, ok := t.Service(ep.Service)
	if !ok {
		return 0
	}
	return s.ColdFor
}

// logCold logs that an endpoint is taken for cold, or no longer.
func (g *Gateway) logCold(c endpoint.ColdChanged) {
	if !c.Cold {
		g.log.Info("endpoint no longer cold", zap.String("Endpoint", c.Endpoint))
		return
	}
	g.log.Info("endpoint cold", zap.String("Endpoint", c.Endpoint), zap.Duration("For", c.For), zap.Bool("Doubted", c.Presumed), zap.Duration("Interval", c.Interval))
}

// logPace logs that an endpoint is paced, or no longer.
func (g *Gateway) logPace(c endpoint.PaceChanged) {
	if !c.Paced {
		g.log.Info("endpoint no longer paced", zap.String("Endpoint", c.Endpoint), zap.Float64("Window", c.Window), zap.Int("Troubles", c.Reductions), zap.Duration("For", c.For))
		return
	}
	g.log.Info("endpoint paced", zap.String("Endpoint", c.Endpoint), zap.Float64("Window", c.Window), zap.Int("Rank", c.Rank))
}

// coldEndpoints returns the number of endpoints that are taken for cold.
func (g *Gateway) coldEndpoints() int64 {
	return g.countEndpoints(func(v endpoint.View) bool { return v.Cold })
}

// pacedEndpoints returns the number of endpoints that do not get their full load yet.
func (g *Gateway) pacedEndpoints() int64 {
	return g.countEndpoints(func(v endpoint.View) bool { return v.Paced })
}

func (g *Gateway) countEndpoints(counts func(endpoint.View) bool) int64 {
	n := int64(0)
	for _, v := range g.endpoints.State(time.Now()).Endpoints {
		if counts(v) {
			n++
		}
	}
	return n
}
