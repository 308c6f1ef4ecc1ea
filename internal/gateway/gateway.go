package gateway

import (
	"math"
	"math/rand/v2"
	"net"
	"runtime"
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
	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/internal/peer"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// Store is the part of the platform's store that the gateway uses.
type Store interface {
	keyvalue.Store
	keyvalue.Feed
	keyvalue.Leases
}

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Settings Settings
	Features Features
	Dialect  Dialect
	Store    Store
	Log      *zap.Logger // Nil discards the log.
}

// Gateway is one router process, which forwards requests without interpreting their bodies.
type Gateway struct {
	cfg     Config
	dialect Dialect
	log     *zap.Logger
	started time.Time
	stop    chan struct{}

	timeouts           timeouts                    // Not changed after the start.
	table              atomic.Pointer[route.Table] // Nil until the first configuration is in force.
	tableMu            sync.Mutex                  // Held while a configuration is put in force.
	initialGrantsDrawn bool                        // Accessed only in members.tick, which one goroutine calls.
	sequence           atomic.Uint64               // Number of run IDs issued.
	inFlight           atomic.Int64
	maxInFlight        atomic.Int64 // Limit of inFlight.
	bodies             bodies
	idleCallers        idleConnections
	answers            byteBudget            // Memory of answers that are read whole.
	grace              atomic.Int64          // Nanoseconds from the stop request until the process is killed.
	drain              atomic.Pointer[drain] // Nil until a stop is requested.
	closing            atomic.Bool           // New requests are refused.
	unusableSettings   atomic.Int64          // Problems of the settings file as it was read last.
	durations          durations
	overload           overload
	admission          listenerControl
	schedulerWaits     schedulerWaits // Used by tick only.
	ticker             decision.Ticker

	workers      *ants.Pool // For background calls to the store and to peers.
	forwarder    request.Forwarder
	handover     handover
	budgets      ledger.Ledger
	endpoints    placement.Endpoints
	entries      entries
	evacuations  evacuations
	feeds        map[string]*feedState // By name; not changed after New.
	members      members
	peers        *peer.Client
	peerService  peer.Service
	origins      peer.Origins
	versions     versions
	originRow    originRow
	archive      originArchive
	metrics      *metrics
	store        *instrumentedStore
	budgetStore  *keyvalue.GuardedStore // Store for the budgets, with rate limits and a circuit breaker.
	reachability storeReachability
	path         path
}

// Periods and timeouts of the gateway.
const (
	tickPeriod   = 25 * time.Millisecond  // Between two ticks of the budgets and the endpoint pool while requests wait.
	idlePeriod   = 200 * time.Millisecond // The same while none waits.
	storeTimeout = time.Second

	// The waits of watches. A watch whose answer was lost holds its feed up for the wait and storeTimeout, and a follower for the
	// wait, feed.MaxOverdue and, if the reader fails then, feed.PollTimeout.
	watchWait         = 1500 * time.Millisecond // So that both are below 3 s, in which a router has to recover from an outage.
	followedWatchWait = time.Second             // Of a router that others follow.
	versionsWatchWait = 3500 * time.Millisecond // A copy that is up to 5 s old is used, see origin.History.MustTell.
	membersWatchWait  = 10 * time.Second        // Probes show which routers are alive.
	probeWait         = 20 * time.Millisecond   // After a failed step.

	summaryPeriod = 10 * time.Second // Between two log lines that summarize the store calls.

	endpointsBatchDelay = 500 * time.Millisecond // Below the 2 s for which an endpoint that leaves keeps serving.
	membersBatchDelay   = time.Second            // Probes discover new routers in the meantime.
	membersRelayDelay   = 3 * time.Second        // Likewise.

	settlePeriod          = 3 * time.Second // After the start, in which the routers discover each other.
	endpointsStartupDelay = 1500 * time.Millisecond
	membersStartupDelay   = settlePeriod // Probes discover the other routers in the meantime.
)

// New returns a gateway that has not been started.
func New(cfg Config) (*Gateway, error) {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	g := &Gateway{cfg: cfg, dialect: cfg.Dialect, log: cfg.Log, started: time.Now(), stop: make(chan struct{}), timeouts: defaultTimeouts}
	const unlimited = -1
	var err error
	if g.workers, err = ants.NewPool(unlimited); err != nil {
		return nil, errors.Wrap(err, "creating the worker pool")
	}
	g.maxInFlight.Store(inFlightLimit(cfg.Settings.Memory))
	g.limitBodies(cfg.Settings.Memory)
	g.grace.Store(int64(cfg.Settings.grace()))
	g.store = &instrumentedStore{Store: cfg.Store}
	if g.metrics, err = newMetrics(g); err != nil {
		return nil, err
	}
	g.store.countCall = g.metrics.countStoreCall
	g.store.onAnswer = g.handleStoreAnswer
	g.wireComponents()
	return g, nil
}

// handleStoreAnswer records an answer of the store, which after an outage lets the budgets call it again.
func (g *Gateway) handleStoreAnswer(now time.Time) {
	if g.reachability.markReachable(now) {
		g.budgetStore.ResetBreaker()
	}
}

// wireComponents connects the components of the gateway with each other.
func (g *Gateway) wireComponents() {
	settings := g.cfg.Settings
	self := fleet.Member{
		VM:          settings.VM,
		Incarnation: uint64(g.started.UnixNano()),
		Address:     settings.Listen.Peer,
		DataCentre:  settings.DataCentre,
		Size:        settings.Capacity.size(),
	}
	g.members.setup(g, self)
	g.admission.setup(g)
	g.peers = peer.NewClient(peerTimeout)
	g.peers.Members = &g.members.Members
	g.peers.Endpoints = &g.endpoints
	g.peers.Log = g.log
	g.peers.Background = g.background
	g.origins.Client = g.peers
	g.origins.Registry = &origin.Registry{}
	g.origins.Versions = &g.versions
	g.versions.g = g
	g.versions.history.Delay = recordDelay + rand.N(recordDelay)
	g.originRow.setup(g, self.Name())
	g.archive.g = g
	g.origins.Archive = &g.archive
	g.origins.Writer = &g.originRow
	g.peerService = peer.Service{
		Members:   &g.members.Members,
		Budgets:   &g.budgets,
		Endpoints: &g.endpoints,
		Origins:   g.origins.Registry,
		Versions:  &g.versions,
		IsHome:    g.peers.IsHome,
	}
	g.entries.g = g
	g.entries.tracked = map[string]*trackedEndpoint{}
	g.entries.restarted = map[string]bool{}
	if g.cfg.Features.Evacuations {
		g.evacuations.setup(g)
		g.peers.Evacuations = &g.evacuations
		g.peerService.Evacuations = &g.evacuations
	}
	g.feeds = g.newFeeds()
	g.overload.LinkBytesPerSecond = settings.Capacity.linkBytesPerSecond()
	g.ticker = decision.Ticker{Busy: tickPeriod, Idle: idlePeriod}
	g.wireEndpoints()
	g.wireBudgets(self.Name())
	g.wireForwarders()
}

// wireEndpoints connects the endpoint pool with what it reports to.
func (g *Gateway) wireEndpoints() {
	g.endpoints.OnWaiting = g.ticker.Wake
	g.endpoints.BroadcastSuspicion = g.peers.BroadcastSuspicion
	g.endpoints.OnLimitChanged = g.logLimit
	g.endpoints.OnBrittleChanged = g.logBrittle
	g.endpoints.OnColdChanged = g.logCold
	g.endpoints.OnPaceChanged = g.logPace
	g.endpoints.Init(g.endpointPolicy())
}

// wireBudgets connects the budgets of the router with the given name with the store and the other routers.
func (g *Gateway) wireBudgets(self string) {
	store := g.cfg.Settings.Store
	g.budgets.OnWaiting = g.ticker.Wake
	g.budgetStore = keyvalue.NewGuardedStore(g.store, perRouter(float64(store.WritesPerSecond)), perRouter(float64(store.ReadsPerSecond)))
	g.budgets.Store = g.budgetStore
	g.budgets.Peers = g.peers
	g.budgets.Log = g.log
	g.budgets.Background = g.background
	g.budgets.OnBill = g.metrics.addBilledTokens
	g.budgets.Init(self, budgetPolicy())
}

// wireForwarders connects what carries requests to endpoints and to other routers with the other components.
func (g *Gateway) wireForwarders() {
	g.forwarder.Endpoints = &g.endpoints
	g.forwarder.Budgets = &g.budgets
	g.forwarder.Peers = g.peers
	g.forwarder.Origins = &g.origins
	g.forwarder.Log = g.log
	g.forwarder.Observer = g.metrics
	g.forwarder.Background = g.background
	g.path.setup(g)
	g.forwarder.Path = &g.path
	g.forwarder.StoreLost = g.reachability.unreachable
	g.forwarder.Late = g.overload.isLate
	g.handover.forwarder.Log = g.log
	g.handover.forwarder.Background = g.background
	g.handover.forwarder.Connections.ProbeAfter = hopProbeAfter
}

// logLimit logs that the limit of an endpoint is known to have changed.
func (g *Gateway) logLimit(c endpoint.LimitChanged) {
	g.log.Info("endpoint limit changed", zap.String("Endpoint", c.Endpoint), zap.Float64("Before", c.Before), zap.Float64("Now", c.Now), zap.Float64("Share", c.Share))
}

// logBrittle logs that it is known to have changed whether an endpoint is brittle.
func (g *Gateway) logBrittle(c endpoint.BrittleChanged) {
	fields := []zap.Field{
		zap.String("Endpoint", c.Endpoint), zap.Int("Before", c.Before), zap.Int("Now", c.Now), zap.Int("Share", c.Share),
		zap.Duration("Age", c.Age), zap.Bool("Presumed", c.Presumed),
	}
	if c.Now == 0 {
		g.log.Info("endpoint no longer brittle", fields...)
		return
	}
	g.log.Info("endpoint brittle", fields...)
}

// peerTimeout is the timeout of a call to a peer.
const peerTimeout = 800 * time.Millisecond

// Start opens the listeners and joins the fleet; the gateway then serves until Shutdown.
func (g *Gateway) Start() error {
	listeners := []struct {
		name, address string
		handler       fasthttp.RequestHandler
	}{
		{peerListener, g.cfg.Settings.Listen.Peer, g.servePeer},
		{"Ready", g.cfg.Settings.Listen.Ready, g.serveReady},
		{"Directory", g.cfg.Settings.Listen.Directory, g.serveDirectory},
		{"Metrics", g.cfg.Settings.Listen.Metrics, g.metrics.Handler()},
		{frontListener, g.cfg.Settings.Listen.Front, g.serveFront},
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

// Names of listeners that are not served like the others.
const (
	peerListener  = "Peer"  // For other routers.
	frontListener = "Front" // For callers.
)

func (g *Gateway) listen(name, address string, handler fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listening on %s for %s", address, name)
	}
	go g.serve(name, g.controlFront(name, ln), handler)
	return nil
}

// serve answers the requests on the connections that a listener accepts.
func (g *Gateway) serve(name string, ln net.Listener, handler fasthttp.RequestHandler) {
	fromPeer := name == peerListener
	l := &listener{Listener: ln, log: g.log, timeouts: g.callerTimeouts, bodies: &g.bodies.byteBudget, idle: &g.idleCallers, callers: !fromPeer}
	if fromPeer {
		l.timeouts = g.peerTimeouts
	}
	err := g.newServer(handler, fromPeer).Serve(l)
	if err != nil {
		g.log.Error("server stopped", zap.String("Listener", name), logfile.Error(err))
	}
}

// newFeeds returns the feeds that the gateway follows.
func (g *Gateway) newFeeds() map[string]*feedState {
	feeds := map[string]*feedState{}
	for _, f := range []*feedState{
		{
			name:       "configuration",
			prefix:     g.dialect.ConfigurationKey(),
			onSnapshot: g.applyConfigurationSnapshot,
			onChanges:  g.applyConfigurationChanges,
			probes:     true,
		},
		{
			name:       endpointsFeed,
			prefix:     g.dialect.EntryPrefix(),
			onPage:     g.entries.applyPage,
			onSnapshot: g.entries.applySnapshot,
			onChanges:  g.entries.applyChanges,
			onRecovery: g.entries.storeRecovered,
			batchDelay: endpointsBatchDelay, startupDelay: endpointsStartupDelay,
		},
		{
			name:       "members",
			prefix:     memberPrefix,
			onSnapshot: g.members.applySnapshot,
			onChanges:  g.members.applyChanges,
			wait:       membersWatchWait,
			batchDelay: membersBatchDelay, startupDelay: membersStartupDelay, relayDelay: membersRelayDelay,
		},
		{
			name:       versionsFeed,
			prefix:     versionsPrefix,
			onSnapshot: g.versions.applySnapshot,
			onChanges:  g.versions.applyChanges,
			wait:       versionsWatchWait,
		},
	} {
		feeds[f.name] = f
	}
	if g.cfg.Features.Evacuations {
		feeds[evacuationsFeed] = g.evacuations.newFeed()
	}
	return feeds
}

func (g *Gateway) startLoops() {
	for _, f := range g.feeds {
		go g.follow(f)
	}
	go g.members.register()
	go decision.Every(fleet.ProbePeriod, g.stop, g.members.tick)
	go g.ticker.Run(g.stop, g.tick)
	go g.path.ticker.Run(g.stop, g.path.tick)
	if g.cfg.Features.RefuseConnections {
		go g.admission.ticker.Run(g.stop, g.admission.tick)
	}
	go g.originRow.run()
	go decision.Every(summaryPeriod, g.stop, g.logStoreCalls)
}

// logStoreCalls logs the number of store calls since it last ran and the time since the store last answered.
func (g *Gateway) logStoreCalls(now time.Time) {
	g.log.Info("store calls", zap.Any("Calls", g.store.resetCounts()), zap.Duration("Silence", g.store.silence(now)))
}

// tick advances the clocks of the budgets, the endpoint entries and the endpoint pool. It reports whether any of them
// waits for time to pass.
func (g *Gateway) tick(now time.Time) (busy bool) {
	g.measureLateness(now)
	g.budgets.Handle(now, budget.Tick{})
	g.watchPath(now)
	missing := g.entries.tick(now)
	g.versions.tick(now)
	return missing || g.budgets.Waiting() > 0 || g.endpoints.Waiting() > 0
}

// measureLateness measures how long the process waits for the processor, and logs when it becomes late or no longer is.
func (g *Gateway) measureLateness(now time.Time) {
	if !g.overload.due(now) {
		return
	}
	wait := g.schedulerWaits.measure()
	state, changed := g.overload.measured(now, wait)
	if !changed {
		return
	}
	g.log.Warn("overload", zap.Bool("Late", state.Late), zap.Duration("Wait", wait.P95), zap.Uint64("Samples", wait.Samples),
		zap.Float64("Rate", math.Round(state.Rate)), zap.Float64("BytesPerSecond", math.Round(state.BytesPerSecond)),
		zap.Int64("InFlight", g.inFlight.Load()), zap.Int("Goroutines", runtime.NumGoroutine()))
}

// background runs f on a worker, or in a new goroutine if the pool rejects it.
func (g *Gateway) background(f func()) {
	if err := g.workers.Submit(f); err != nil {
		go f()
	}
}

// newRunID returns an ID that is unique in the fleet.
func (g *Gateway) newRunID() string {
	return g.members.Self().Name() + "-" + strconv.FormatUint(g.sequence.Add(1), 36)
}
