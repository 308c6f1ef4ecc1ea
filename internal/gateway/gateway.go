package gateway

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/peer"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// Store is what the gateway needs of the platform's store.
type Store interface {
	keyvalue.Store
	keyvalue.Feed
	keyvalue.Leases
}

// Config is what a gateway is made of.
type Config struct {
	Settings Settings
	Dialect  Dialect
	Store    Store
	Log      *zap.Logger // Nil discards.
}

// Gateway is one running router for opaque requests.
type Gateway struct {
	cfg     Config
	dialect Dialect
	log     *zap.Logger
	started time.Time
	stop    chan struct{}

	table    atomic.Pointer[route.Table] // Nil until a configuration is known.
	tableMu  sync.Mutex                  // Held while a configuration comes into force.
	drawn    bool                        // First grants were drawn; used by the timer of the members only.
	sequence atomic.Uint64               // Of requests.
	inFlight atomic.Int64
	most     atomic.Int64 // Of inFlight.
	grace    atomic.Int64 // Nanoseconds between the order to stop and the kill.
	draining atomic.Bool  // Out of the directory; whoever still comes is served.
	closing  atomic.Bool  // Requests are refused.

	calls     *ants.Pool // Store and peer calls.
	forwarder request.Forwarder
	budgets   ledger.Ledger
	endpoints placement.Endpoints
	entries   entries
	members   members
	peers     *peer.Client
	service   peer.Service
	metrics   *metrics
	store     *countedStore
	guarded   *keyvalue.Guarded // The store for budgets.
	reach     reach
}

// Periods of the gateway's timers.
const (
	decidePeriod = 25 * time.Millisecond // Ticks of the deciders that serve requests.
	storeTimeout = time.Second
	watchWait    = 15 * time.Second // Longest wait of one watch; each is a call to the store.
	probeWait    = 20 * time.Millisecond

	summaryPeriod = 10 * time.Second // Between two lines that sum up the store calls.

	endpointsSettle = 500 * time.Millisecond // An endpoint that leaves may be used for 2 s.
	membersSettle   = time.Second            // Probes find new routers meanwhile.
)

// New returns a gateway that is not yet started.
func New(cfg Config) (*Gateway, error) {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	g := &Gateway{cfg: cfg, dialect: cfg.Dialect, log: cfg.Log, started: time.Now(), stop: make(chan struct{})}
	const unlimited = -1
	var err error
	if g.calls, err = ants.NewPool(unlimited); err != nil {
		return nil, errors.Wrap(err, "making the pool of call workers")
	}
	g.most.Store(mostInFlight(cfg.Settings.Memory))
	g.grace.Store(int64(cfg.Settings.grace()))
	g.store = &countedStore{Store: cfg.Store}
	if g.metrics, err = newMetrics(g); err != nil {
		return nil, err
	}
	g.store.count = g.metrics.storeCall
	g.store.heard = g.reach.regain
	g.join()
	return g, nil
}

// join connects the slices of the gateway with each other.
func (g *Gateway) join() {
	settings := g.cfg.Settings
	self := fleet.Member{
		VM:          settings.VM,
		Incarnation: uint64(g.started.UnixNano()),
		Address:     settings.Listen.Peer,
		DataCentre:  settings.DataCentre,
		Size:        1,
	}
	g.members.open(g, self)
	g.peers = peer.NewClient(peerTimeout)
	g.peers.Members = &g.members.Members
	g.peers.Endpoints = &g.endpoints
	g.peers.Log = g.log
	g.peers.Background = g.background
	g.service = peer.Service{Members: &g.members.Members, Budgets: &g.budgets, Endpoints: &g.endpoints, IsHome: g.peers.IsHome}
	g.entries = entries{g: g, known: map[string]*known{}, restarted: map[string]bool{}}
	g.endpoints.TellSuspect = g.peers.TellSuspect
	g.endpoints.Open(g.endpointPolicy())
	g.guarded = keyvalue.NewGuarded(g.store, perRouter(settings.Store.WritesPerSecond), perRouter(settings.Store.ReadsPerSecond))
	g.budgets.Store = g.guarded
	g.budgets.Peers = g.peers
	g.budgets.Log = g.log
	g.budgets.Background = g.background
	g.budgets.Billed = g.metrics.billed
	g.budgets.Open(self.Name(), budgetPolicy())
	g.forwarder.Endpoints = &g.endpoints
	g.forwarder.Budgets = &g.budgets
	g.forwarder.Peers = g.peers
	g.forwarder.Log = g.log
	g.forwarder.Observer = g.metrics
	g.forwarder.Background = g.background
	g.forwarder.StoreLost = g.reach.lost
}

// peerTimeout bounds a call to a peer.
const peerTimeout = 800 * time.Millisecond

// budgetPolicy sizes grants so that a router serves on while the store is away, and a death strands little.
func budgetPolicy() budget.Policy {
	return budget.Policy{
		Horizon:     6 * time.Second, // Between what a cut from the store needs and what a loss of all routers strands.
		Step:        2 * time.Second,
		ShareParts:  3,
		SealAfter:   6 * time.Second,
		FlushEvery:  5 * time.Second,
		ReturnAfter: 30 * time.Second,
		RetireAfter: 10 * time.Minute,
		Backoff:     300 * time.Millisecond,
		RecallEvery: 2 * time.Second,
		FreshFor:    2 * time.Second, // Totals come with the configuration; others return tokens rarely.
	}
}

// endpointPolicy bounds the repeats that this router makes, so that all together keep to the fleet's bound.
func (g *Gateway) endpointPolicy() endpoint.Policy {
	retries := retriesOf(g.cfg.Settings.Retry)
	return endpoint.Policy{
		Seed:         uint64(g.started.UnixNano()),
		ReportLag:    time.Millisecond,
		RetryRatio:   retries.RetryRatio,
		FleetReserve: retries.FleetReserve,
		DownFor:      500 * time.Millisecond,
		MaxDownFor:   4 * time.Second,
		MaxQueue:     1024,
	}
}

// retriesOf returns the bounds of the repeats that settings give, with a margin, since routers count a moment later than endpoints.
func retriesOf(r RetrySettings) endpoint.RetriesChanged {
	const margin = 0.8
	return endpoint.RetriesChanged{RetryRatio: margin * r.Ratio, FleetReserve: margin * r.Slack}
}

// perRouter returns this router's part of a rate that the store gives to all.
func perRouter(rate float64) int {
	const fewestRouters = 4
	return max(1, int(rate/fewestRouters))
}

// Start listens, joins the fleet and serves until Shutdown.
func (g *Gateway) Start() error {
	listeners := []struct {
		name, address string
		handler       fasthttp.RequestHandler
	}{
		{"Peer", g.cfg.Settings.Listen.Peer, g.servePeer},
		{"Ready", g.cfg.Settings.Listen.Ready, g.serveReady},
		{"Directory", g.cfg.Settings.Listen.Directory, g.serveDirectory},
		{"Metrics", g.cfg.Settings.Listen.Metrics, g.metrics.Handler()},
		{"Front", g.cfg.Settings.Listen.Front, g.serveFront},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		if err := g.listen(l.name, l.address, l.handler); err != nil {
			return err
		}
	}
	g.startLoops()
	g.log.Info("started", zap.String("VM", g.cfg.Settings.VM), zap.String("DataCentre", g.cfg.Settings.DataCentre),
		zap.String("Front", g.cfg.Settings.Listen.Front), zap.String("Incarnation", g.members.Self().Name()))
	return nil
}

func (g *Gateway) listen(name, address string, handler fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listening on %s for %s", address, name)
	}
	server := g.newServer(handler)
	go func() {
		if err := server.Serve(ln); err != nil {
			g.log.Error("server stopped", zap.String("Listener", name), logfile.Problem(err))
		}
	}()
	return nil
}

func (g *Gateway) startLoops() {
	go g.follow(feed{
		name:   "configuration",
		prefix: g.dialect.ConfigurationKey(),
		reset:  g.configurationRead,
		change: g.configurationChanged,
		probes: true,
	})
	go g.follow(feed{
		name:     "endpoints",
		prefix:   g.dialect.EntryPrefix(),
		reset:    g.entries.read,
		change:   g.entries.changed,
		regained: g.entries.storeRegained,
		settle:   endpointsSettle,
	})
	go g.follow(feed{
		name:   "members",
		prefix: memberPrefix,
		reset:  g.members.read,
		change: g.members.changed,
		settle: membersSettle,
	})
	go g.members.register()
	go decision.Every(fleet.ProbePeriod, g.stop, g.members.tick)
	go decision.Every(decidePeriod, g.stop, g.decide)
	go decision.Every(summaryPeriod, g.stop, g.summarize)
}

// summarize logs how often the store was called lately and how long it has been silent.
func (g *Gateway) summarize(now time.Time) {
	g.log.Info("store calls", zap.Any("Calls", g.store.takeRecent()), zap.Duration("Silence", g.store.silence(now)))
}

// decide lets time pass for the deciders that serve requests.
func (g *Gateway) decide(now time.Time) {
	g.budgets.Handle(now, budget.Tick{})
	g.entries.tick(now)
}

// background runs f on the pool for store and peer calls.
func (g *Gateway) background(f func()) {
	if err := g.calls.Submit(f); err != nil {
		go f()
	}
}

// newID returns the name of a request within the fleet.
func (g *Gateway) newID() string {
	return g.members.Self().Name() + "-" + strconv.FormatUint(g.sequence.Add(1), 36)
}
