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

// loadPoller reads the load and the cache events of the endpoints.
type loadPoller struct {
	r      *Router
	client *fasthttp.Client

	mu              sync.Mutex
	lastCacheEvents map[string]uint64 // Guarded by mu; sequence number of the last cache event processed, by endpoint.
}

func newLoadPoller(r *Router) *loadPoller {
	const maxConns = 16
	return &loadPoller{r: r, client: keyvalue.NewHTTPClient(loadPollPeriod, maxConns), lastCacheEvents: map[string]uint64{}}
}

// poll queries every endpoint for its load.
func (p *loadPoller) poll(time.Time) {
	for _, e := range p.r.snapshot().tree.Fleet.Endpoints {
		p.r.background(func() { p.pollEndpoint(e.Name, e.Address) })
	}
}

func (p *loadPoller) pollEndpoint(name, address string) {
	report, err := p.fetch(address, p.lastCacheEvent(name))
	if err != nil {
		return // A failed query says nothing about the requests in flight, which detect a failure themselves.
	}
	now := time.Now()
	p.setLastCacheEvent(name, report.CacheSequence)
	load := endpoint.Load{Running: report.Running, Waiting: report.Waiting, Leaving: report.Leaving}
	p.r.endpoints.Handle(now, endpoint.LoadReported{Endpoint: name, Load: load})
	for _, e := range report.Cache {
		p.r.endpoints.Handle(now, endpoint.CacheUpdated{Endpoint: name, Prefix: e.Prefix, Dropped: e.Dropped})
	}
}

// fetch queries an endpoint for its load and for the cache events after the given sequence number.
func (p *loadPoller) fetch(address string, after uint64) (chat.LoadReport, error) {
	var report chat.LoadReport
	url := fmt.Sprintf("http://%s%s?After=%d", address, chat.LoadPath, after)
	status, body, err := p.client.GetTimeout(nil, url, loadPollPeriod)
	if err != nil {
		return report, err
	}
	if status != fasthttp.StatusOK {
		return report, errors.Newf("load query returned status %d", status)
	}
	return report, errors.Wrap(json.Unmarshal(body, &report), "decoding a load report")
}

func (p *loadPoller) lastCacheEvent(name string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastCacheEvents[name]
}

// setLastCacheEvent stores the last sequence number, which is lower than the previous one after a restart of the engine.
func (p *loadPoller) setLastCacheEvent(name string, sequence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastCacheEvents[name] = sequence
}

// endpoints returns the endpoints of the settings in the form that the endpoint pool expects.
func (s *snapshot) endpoints() []placement.EndpointConfig {
	list := make([]placement.EndpointConfig, 0, len(s.tree.Fleet.Endpoints))
	for _, e := range s.tree.Fleet.Endpoints {
		ep := endpoint.Endpoint{
			Name:                  e.Name,
			Serves:                e.Serves,
			Slots:                 e.Slots,
			TokensPerSecond:       e.TokensPerSecond,
			PromptTokensPerSecond: e.PromptTokensPerSecond,
		}
		list = append(list, placement.EndpointConfig{Endpoint: ep, Address: e.Address, Leaving: e.Leaving})
	}
	return list
}
