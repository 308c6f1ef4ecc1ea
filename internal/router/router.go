package router

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/configuration"
	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/operators"
	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/internal/peer"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/burn"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// Router is one router process.
type Router struct {
	cfg     Config
	self    settings.VM
	log     *zap.Logger
	started time.Time

	current  atomic.Pointer[snapshot]
	applyMu  sync.Mutex // Held while settings are put in force.
	inFlight atomic.Int64
	draining atomic.Bool // The router is leaving the entry lists but still serves requests.
	closing  atomic.Bool // New requests are refused.
	stop     chan struct{}

	requestWorkers *ants.Pool // For requests.
	callWorkers    *ants.Pool // For calls to the store and to peers.
	peers          peers
	peerService    peer.Service
	metrics        *metrics
	levels         burn.Recorder
	server         *fasthttp.Server
	listenAddr     string

	forwarder     request.Forwarder
	budgets       ledger.Ledger
	endpoints     placement.Endpoints
	loadPoller    *loadPoller
	vmListClient  *fasthttp.Client // For reading the platform's list of VMs.
	bills         bills
	orders        orders
	members       members
	configuration configuration.Configuration
	operators     operators.Service
}

// New returns a router that has not been started.
func New(cfg Config) (*Router, error) {
	self, ok := cfg.Initial.Fleet.VM(cfg.VM)
	if !ok {
		return nil, errors.Newf("VM %q is not in the settings", cfg.VM)
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	r := &Router{cfg: cfg, self: self, started: time.Now(), stop: make(chan struct{})}
	r.log = cfg.Log.With(zap.String("VM", cfg.VM))
	r.current.Store(newSnapshot(0, cfg.Initial))
	if err := r.createPools(); err != nil {
		return nil, err
	}
	r.wireComponents()
	return r, nil
}

// createPools creates the worker pools and the metrics.
func (r *Router) createPools() error {
	var err error
	limit := r.snapshot().limits.ConcurrentRequests
	if r.requestWorkers, err = ants.NewPool(limit, ants.WithNonblocking(true)); err != nil {
		return errors.Wrap(err, "creating the pool of request workers")
	}
	const unlimited = -1
	if r.callWorkers, err = ants.NewPool(unlimited); err != nil {
		return errors.Wrap(err, "creating the pool of call workers")
	}
	r.metrics, err = newMetrics(r)
	return err
}

// wireComponents connects the components of the router with each other.
func (r *Router) wireComponents() {
	member := fleet.Member{
		VM:          r.self.Name,
		Incarnation: uint64(r.started.UnixNano()),
		Address:     r.self.Address,
		DataCentre:  r.self.DataCentre,
		Size:        r.self.Size,
	}
	r.members.r = r
	r.members.Budgets = &r.budgets
	r.members.Endpoints = &r.endpoints
	r.members.Background = r.background
	r.peers = peers{peer.NewClient(peerTimeout), r}
	r.peers.Members = &r.members.Members
	r.peers.Endpoints = &r.endpoints
	r.peers.Key = func() string { return r.snapshot().tree.Fleet.PeerKey }
	r.peers.Log = r.log
	r.peers.Background = r.background
	r.members.Probe = r.peers.Probe
	r.members.OnChange = func(now time.Time) { r.budgets.UpdateHomes(now, r.peers.IsHome) }
	r.members.Init(member)
	r.peerService = peer.Service{
		Members:   &r.members.Members,
		Budgets:   &r.budgets,
		Endpoints: &r.endpoints,
		Origins:   &origin.Registry{},
		IsHome:    r.peers.IsHome,
	}
	r.endpoints.BroadcastSuspicion = r.peers.BroadcastSuspicion
	r.endpoints.Init(r.cfg.Endpoint)
	r.budgets.Store = r.cfg.Store
	r.budgets.Peers = r.peers
	r.budgets.Log = r.log
	r.budgets.Background = r.background
	r.budgets.OnBill = r.metrics.addBilledTokens
	r.budgets.Init(member.Name(), r.budgetPolicy())
	r.forwarder.Endpoints = &r.endpoints
	r.forwarder.Budgets = &r.budgets
	r.forwarder.Peers = r.peers
	r.forwarder.Log = r.log
	r.forwarder.Background = r.background
	r.loadPoller = newLoadPoller(r)
	r.vmListClient = keyvalue.NewHTTPClient(vmListPeriod, 1)
	r.bills = bills{r: r}
	r.orders = orders{r: r}
	r.wireSettings()
}

// wireSettings connects the components that apply settings and serve operators.
func (r *Router) wireSettings() {
	r.configuration.VM = r.self
	r.configuration.Initial = r.cfg.Initial
	r.configuration.Store = r.cfg.Store
	r.configuration.Members = &r.members.Members
	r.configuration.Peers = &r.peers
	r.configuration.Log = r.log
	r.configuration.Background = r.background
	r.configuration.Apply = func(now time.Time, revision uint64, tree settings.Tree) { r.apply(now, newSnapshot(revision, tree)) }
	r.operators = operators.Service{
		Store:    r.cfg.Store,
		Members:  &r.members.Members,
		Settings: &r.configuration,
		Status:   r.Status,
		Levels:   func(now time.Time) any { return r.levels.Rows(now) },
		KeyHash:  func() string { return r.snapshot().tree.Fleet.AdminSHA256 },
	}
}

// Status returns the state of the router as shown to operators.
func (r *Router) Status() operators.Status {
	state := r.endpoints.State(time.Now())
	return operators.Status{
		VM:         r.cfg.VM,
		Revision:   r.configuration.Revision(),
		Draining:   r.draining.Load(),
		InFlight:   r.inFlight.Load(),
		Waiting:    state.Waiting,
		Members:    r.members.states(),
		Endpoints:  state.Endpoints,
		Suspects:   state.Suspects,
		Budgets:    r.budgets.Views(),
		OrdersOpen: r.orders.pending(),
	}
}

// budgetPolicy returns the configured budget policy, with Horizon and Step from the settings if its Horizon is zero.
func (r *Router) budgetPolicy() budget.Policy {
	policy := r.cfg.Budget
	if policy.Horizon == 0 {
		limits := r.snapshot().limits
		policy.Horizon = time.Duration(limits.GrantHorizonSeconds) * time.Second
		policy.Step = time.Duration(limits.CeilingStepSeconds) * time.Second
	}
	return policy
}

// Start puts the initial settings in force, stores them if the store has none, starts to serve and returns.
//
// The router then serves until Shutdown or Kill.
func (r *Router) Start(ctx context.Context) error {
	r.apply(time.Now(), r.snapshot())
	if err := r.configuration.Seed(ctx); err != nil {
		r.log.Warn("initial settings not stored", zap.Error(err))
	}
	ln, err := r.listen()
	if err != nil {
		return err
	}
	r.listenAddr = ln.Addr().String()
	r.server = r.newServer()
	go func() {
		if err := r.server.Serve(ln); err != nil {
			r.log.Error("server stopped", zap.Error(err))
		}
	}()
	r.startTimers()
	r.log.Info("serving", zap.String("Address", r.listenAddr), zap.String("DataCentre", r.self.DataCentre))
	return nil
}

func (r *Router) listen() (net.Listener, error) {
	if r.cfg.Listen != nil {
		return r.cfg.Listen, nil
	}
	ln, err := net.Listen("tcp4", r.self.Address)
	return ln, errors.Wrapf(err, "listening on %s", r.self.Address)
}

func (r *Router) startTimers() {
	go r.configuration.Run(r.stop)
	go decision.Every(fleet.ProbePeriod, r.stop, r.members.tick)
	go decision.Every(loadPollPeriod, r.stop, r.loadPoller.poll)
	go decision.Every(vmListPeriod, r.stop, r.pollVMList)
	go decision.Every(tickPeriod, r.stop, r.tick)
	go decision.Every(sweepPeriod, r.stop, r.orders.sweep)
}

// tick advances the clocks of the state machines that serve requests.
func (r *Router) tick(now time.Time) {
	r.budgets.Handle(now, budget.Tick{})
	r.endpoints.Handle(now, endpoint.Tick{})
	r.forwarder.Connections.Expire(now)
	r.orders.tick(now)
}

// Address returns the address that the router listens on.
func (r *Router) Address() string { return r.listenAddr }

func (r *Router) snapshot() *snapshot { return r.current.Load() }

func (r *Router) stallTimeout() time.Duration {
	return time.Duration(r.snapshot().limits.StallSeconds) * time.Second
}

// apply puts settings in force unless a newer revision already is.
//
// Apply actions of the settings follower are carried out without its mutex, so
// they may arrive out of order.
func (r *Router) apply(now time.Time, s *snapshot) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if s.revision < r.snapshot().revision {
		return
	}
	r.current.Store(s)
	r.endpoints.Configure(now, s.endpoints(), nil)
	r.members.configure(now, s)
	r.log.Info("settings in force", zap.Uint64("Revision", s.revision))
}

// background runs f on the pool for store and peer calls, or in a new goroutine if the pool rejects it.
func (r *Router) background(f func()) {
	if err := r.callWorkers.Submit(f); err != nil {
		go f()
	}
}

// pollVMList reads which VMs are leaving from the platform's list, if the settings contain its address.
func (r *Router) pollVMList(now time.Time) {
	address := r.snapshot().tree.Fleet.VMList.Address
	if address == "" {
		return
	}
	r.background(func() {
		list, err := keyvalue.ReadVMList(r.vmListClient, address)
		if err != nil {
			return // The previous list stays in use; the list lags behind in any case.
		}
		r.members.Handle(now, fleet.VMListReceived{Leaving: list.Leaving})
	})
}
