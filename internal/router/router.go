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

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/burn"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// Router is one running daemon.
type Router struct {
	cfg     Config
	self    settings.VM
	log     *zap.Logger
	started time.Time

	current  atomic.Pointer[snapshot]
	applying sync.Mutex // Held while settings come into force.
	inFlight atomic.Int64
	draining atomic.Bool
	closing  atomic.Bool // Set once new requests are refused.
	stop     chan struct{}

	workers    *ants.Pool // Requests.
	calls      *ants.Pool // Store and peer calls.
	peers      *peers
	endpoints  *streamClient
	metrics    *metrics
	levels     burn.Recorder
	server     *fasthttp.Server
	listenAddr string

	budgets       ledger.Ledger
	backends      backends
	bills         bills
	orders        orders
	members       members
	configuration configuration
}

// New returns a router that is not yet started.
func New(cfg Config) (*Router, error) {
	self, ok := cfg.Initial.Fleet.VM(cfg.VM)
	if !ok {
		return nil, errors.Newf("the settings name no VM %q", cfg.VM)
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	r := &Router{cfg: cfg, self: self, started: time.Now(), stop: make(chan struct{})}
	r.log = cfg.Log.With(zap.String("VM", cfg.VM))
	r.current.Store(newSnapshot(0, cfg.Initial))
	if err := r.makePools(); err != nil {
		return nil, err
	}
	r.peers = newPeers(r)
	r.endpoints = newStreamClient(r.stall)
	r.initSlices()
	return r, nil
}

func (r *Router) makePools() error {
	var err error
	limit := r.snapshot().limits.ConcurrentRequests
	if r.workers, err = ants.NewPool(limit, ants.WithNonblocking(true)); err != nil {
		return errors.Wrap(err, "making the pool of request workers")
	}
	const unlimited = -1
	if r.calls, err = ants.NewPool(unlimited); err != nil {
		return errors.Wrap(err, "making the pool of call workers")
	}
	r.metrics, err = newMetrics(r)
	return err
}

func (r *Router) initSlices() {
	member := fleet.Member{
		VM:          r.self.Name,
		Incarnation: uint64(r.started.UnixNano()),
		Address:     r.self.Address,
		DataCentre:  r.self.DataCentre,
		Size:        r.self.Size,
	}
	policy := r.cfg.Budget
	if policy.Horizon == 0 {
		policy.Horizon = time.Duration(r.snapshot().limits.GrantHorizonSeconds) * time.Second
		policy.Step = time.Duration(r.snapshot().limits.CeilingStepSeconds) * time.Second
	}
	r.budgets.Store = r.cfg.Store
	r.budgets.Peers = r.peers
	r.budgets.Log = r.log
	r.budgets.Background = r.background
	r.budgets.Billed = func(bill budget.Bill) { r.metrics.billed(bill.Budget, bill.Tokens) }
	r.budgets.Open(member.Name(), policy)
	r.backends = backends{r: r, pool: endpoint.Pool{Policy: r.cfg.Endpoint}}
	r.bills = bills{r: r}
	r.orders = orders{r: r}
	r.members.r = r
	r.members.Open(member)
	r.configuration = configuration{r: r}
}

// Start listens, takes the settings over and serves until Shutdown.
func (r *Router) Start(ctx context.Context) error {
	r.apply(time.Now(), r.snapshot())
	if err := r.configuration.seed(ctx); err != nil {
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
	go r.configuration.run(r.stop)
	go decision.Every(fleet.ProbePeriod, r.stop, r.members.tick)
	go decision.Every(reportPeriod, r.stop, r.backends.poll)
	go decision.Every(vmListPeriod, r.stop, r.pollVMList)
	go decision.Every(decidePeriod, r.stop, r.decide)
}

// decide lets time pass for the deciders that serve requests.
func (r *Router) decide(now time.Time) {
	r.budgets.Handle(now, budget.Tick{})
	r.backends.handle(now, endpoint.Tick{})
	r.orders.tick(now)
}

// Address returns the address that the router listens on.
func (r *Router) Address() string { return r.listenAddr }

func (r *Router) snapshot() *snapshot { return r.current.Load() }

func (r *Router) stall() time.Duration {
	return time.Duration(r.snapshot().limits.StallSeconds) * time.Second
}

// apply puts settings in force, unless newer ones are.
//
// Two Apply actions may be carried out in the wrong order, since that is done
// outside the follower's mutex.
func (r *Router) apply(now time.Time, s *snapshot) {
	r.applying.Lock()
	defer r.applying.Unlock()
	if s.revision < r.snapshot().revision {
		return
	}
	r.current.Store(s)
	r.backends.configure(now, s)
	r.members.configure(now, s)
	r.log.Info("settings in force", zap.Uint64("Revision", s.revision))
}

// background runs f on the pool for store and peer calls.
func (r *Router) background(f func()) {
	if err := r.calls.Submit(f); err != nil {
		go f()
	}
}

func (r *Router) pollVMList(now time.Time) {
	address := r.snapshot().tree.Fleet.VMList.Address
	if address == "" {
		return
	}
	r.background(func() {
		list, err := keyvalue.ReadVMList(r.peers.http, address)
		if err != nil {
			return // The list lags anyway; the last one stands.
		}
		r.members.handle(now, fleet.PlatformListed{Leaving: list.Leaving})
	})
}
