package router

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// reports asks the endpoints for their load and for what they cache.
type reports struct {
	r    *Router
	http *fasthttp.Client

	mu        sync.Mutex
	cacheSeen map[string]uint64 // Guarded by mu; the last cache event taken over, by endpoint.
}

func newReports(r *Router) *reports {
	const maxConns = 16
	return &reports{r: r, http: keyvalue.NewHTTPClient(reportPeriod, maxConns), cacheSeen: map[string]uint64{}}
}

// poll asks every endpoint for its load.
func (p *reports) poll(time.Time) {
	for _, e := range p.r.snapshot().tree.Fleet.Endpoints {
		p.r.background(func() { p.ask(e.Name, e.Address) })
	}
}

func (p *reports) ask(name, address string) {
	report, err := p.read(address, p.lastCacheEvent(name))
	if err != nil {
		return // A failed query says nothing about the requests in flight, which find out for themselves.
	}
	now := time.Now()
	p.noteCacheEvent(name, report.CacheSequence)
	load := endpoint.Load{Running: report.Running, Waiting: report.Waiting, Leaving: report.Leaving}
	p.r.endpoints.Handle(now, endpoint.LoadReported{Endpoint: name, Load: load})
	for _, e := range report.Cache {
		p.r.endpoints.Handle(now, endpoint.CacheUpdated{Endpoint: name, Prefix: e.Prefix, Dropped: e.Dropped})
	}
}

// read asks an endpoint for its load and for the cache events after the given one.
func (p *reports) read(address string, after uint64) (chat.LoadReport, error) {
	var report chat.LoadReport
	url := fmt.Sprintf("http://%s%s?After=%d", address, chat.LoadPath, after)
	status, body, err := p.http.GetTimeout(nil, url, reportPeriod)
	if err != nil {
		return report, err
	}
	if status != fasthttp.StatusOK {
		return report, errors.Newf("the load query got status %d", status)
	}
	return report, errors.Wrap(json.Unmarshal(body, &report), "decoding a load report")
}

func (p *reports) lastCacheEvent(name string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cacheSeen[name]
}

// noteCacheEvent remembers the last event; a lower number is that of an engine that restarted.
func (p *reports) noteCacheEvent(name string, sequence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cacheSeen[name] = sequence
}

// located returns the endpoints of the settings as the pool takes them.
func (s *snapshot) located() []placement.EndpointConfig {
	list := make([]placement.EndpointConfig, 0, len(s.tree.Fleet.Endpoints))
	for _, e := range s.tree.Fleet.Endpoints {
		described := endpoint.Endpoint{
			Name:                  e.Name,
			Serves:                e.Serves,
			Slots:                 e.Slots,
			TokensPerSecond:       e.TokensPerSecond,
			PromptTokensPerSecond: e.PromptTokensPerSecond,
		}
		list = append(list, placement.EndpointConfig{Endpoint: described, Address: e.Address, Leaving: e.Leaving})
	}
	return list
}
