package gateway

import (
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sys/unix"

	"github.com/foxtaillanding/foxtaillanding/pkg/admission"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// invalidDialect refuses every request.
type invalidDialect struct{ entryDialect }

func (invalidDialect) Request(*fasthttp.RequestHeader) (RequestHead, error) {
	return RequestHead{}, errors.New("no request is valid")
}

func (invalidDialect) Refuse(answer *fasthttp.Response, _ *refusal.Error) {
	answer.SetStatusCode(fasthttp.StatusBadRequest)
}

// pressedGateway is a small router of a data centre with four larger ones, whose link can be filled.
type pressedGateway struct {
	*Gateway

	address string
	lines   *observer.ObservedLogs
	now     time.Time

	mu   sync.Mutex
	told []fleet.Member // This router's own member in each message to a peer; guarded by mu.
}

func newPressedGateway(t *testing.T, features Features) *pressedGateway {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	settings := Settings{VM: "vm-9", DataCentre: "z1", Drain: DrainSettings{GraceMilliseconds: 300}, Capacity: CapacitySettings{LinkMegabits: 10}}
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	settings.Listen.Front = inner.Addr().String()
	g, err := New(Config{Settings: settings, Features: features, Dialect: invalidDialect{}, Store: unreachableStore{}, Log: zap.New(core)})
	require.NoError(t, err)
	g.table.Store(route.NewTable(route.Configuration{Version: 1}))
	p := &pressedGateway{Gateway: g, address: settings.Listen.Front, lines: lines, now: time.Now()}
	g.members.Probe = func(_ string, updates []fleet.Member) ([]fleet.Member, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.told = append(p.told, updates[0])
		return nil, nil
	}
	ln := g.controlFront(frontListener, inner)
	p.joinFleet()
	t.Cleanup(func() { _ = ln.Close() })
	go g.serve(frontListener, ln, g.serveFront)
	return p
}

// joinFleet lets the router know of four larger ones in its data centre, which reach it.
func (p *pressedGateway) joinFleet() {
	vms := []fleet.ConfiguredVM{{VM: "vm-9", DataCentre: "z1", Size: 50}}
	var updates []fleet.Member
	for _, vm := range []string{"vm-1", "vm-2", "vm-3", "vm-4"} {
		vms = append(vms, fleet.ConfiguredVM{VM: vm, DataCentre: "z1", Size: 125})
		updates = append(updates, fleet.Member{VM: vm, Incarnation: 1})
		p.members.registrations[vm] = registration{VM: vm, DataCentre: "z1"}
	}
	p.members.registrations["far"] = registration{VM: "far", DataCentre: "z2"}
	p.members.Handle(p.now, fleet.Configured{VMs: vms})
	p.members.AnswerProbe(p.now, updates)
}

// press lets callers fill the link until the router has been overloaded for long enough to close.
func (p *pressedGateway) press() {
	for range 12 {
		p.now = p.now.Add(admissionPeriod)
		p.overload.arrived(p.now, 1<<20)
		p.admission.tick(p.now)
	}
}

// lastTold returns this router's member as it was told last.
func (p *pressedGateway) lastTold() fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.told) == 0 {
		return fleet.Member{}
	}
	return p.told[len(p.told)-1]
}

func (p *pressedGateway) metricsText(t *testing.T) string {
	t.Helper()
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, nil, nil)
	p.metrics.Handler()(&ctx)
	return string(ctx.Response.Body())
}

// TestOverloadedRouterRefusesConnections guards against a router that reports ready while it refuses connections, keeps its open
// connections, or is not known to be closed; and against a decision that needs the store.
func TestOverloadedRouterRefusesConnections(t *testing.T) {
	p := newPressedGateway(t, Features{RefuseConnections: true})
	p.reachability.markUnreachable()
	caller, in := connect(t, p.address)
	require.True(t, p.ready())
	p.press()
	require.False(t, p.ready())
	_, err := net.Dial("tcp4", p.address)
	require.ErrorIs(t, err, unix.ECONNREFUSED)
	p.now = p.now.Add(2 * time.Second)
	p.overload.decayTo(p.now.Add(time.Hour)) // The link is free, so that only the listener is a reason to close connections.
	require.True(t, exchange(t, caller, in).Close, "an answer on an open connection")
	require.Eventually(t, func() bool { return p.lastTold().Closed }, eventually, pollInterval, "peers are told at once")
	require.EqualValues(t, 1, p.members.selfChanged(p.now).Load)
	require.Contains(t, p.metricsText(t), "foxtaillanding_listener_closed 1\n")
	closed := p.lines.FilterMessage("listener closed").All()
	require.Len(t, closed, 1)
	require.EqualValues(t, 1, closed[0].ContextMap()["LinkExcess"])

	require.False(t, p.admission.tick(p.now), "nothing waits for time to pass")
	require.True(t, p.ready())
	other, otherIn := connect(t, p.address)
	require.False(t, exchange(t, other, otherIn).Close)
	require.Eventually(t, func() bool { return !p.lastTold().Closed }, eventually, pollInterval)
	require.EqualValues(t, 1, p.members.selfChanged(p.now).Load, "callers return gradually")
	require.Zero(t, p.members.selfChanged(p.now.Add(admission.ReturnTime)).Load)
	opened := p.lines.FilterMessage("listener opened").All()
	require.Len(t, opened, 1)
	require.Equal(t, string(admission.NoLongerOverloaded), opened[0].ContextMap()["Reason"])
	require.Contains(t, p.metricsText(t), "foxtaillanding_listener_closed 0\n")
	require.Regexp(t, `foxtaillanding_listener_closed_seconds_total 2\.\d+`, p.metricsText(t))
}

// decayTo lets the measured rates fall as if no request came until a later time, and keeps the present time of the measurement.
func (o *overload) decayTo(later time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := o.rateAt
	o.decay(later)
	o.rateAt = at
}

// TestRouterWithoutTheFeatureKeepsItsListener guards against a change in deployments that do not call for it.
func TestRouterWithoutTheFeatureKeepsItsListener(t *testing.T) {
	p := newPressedGateway(t, Features{})
	p.press()
	require.True(t, p.overload.isLate(p.now))
	require.True(t, p.ready())
	_, _ = connect(t, p.address)
	require.False(t, p.members.selfChanged(p.now).Closed)
	require.NotContains(t, p.metricsText(t), "listener_closed")
	require.Nil(t, p.members.OnProbed)
	require.Zero(t, p.lines.FilterMessage("listener closed").Len()+p.lines.FilterMessage("listener kept open").Len())
}

// TestOnlyRoutersOfTheDataCentreCountAsReaching guards against a router that closes although only routers of other data centres
// reach it.
func TestOnlyRoutersOfTheDataCentreCountAsReaching(t *testing.T) {
	p := newPressedGateway(t, Features{RefuseConnections: true})
	p.now = p.now.Add(admission.ProbeWindow)
	p.members.AnswerProbe(p.now, []fleet.Member{{VM: "far", Incarnation: 1}})
	p.members.AnswerProbe(p.now, []fleet.Member{{VM: "unknown", Incarnation: 1}})
	p.members.AnswerProbe(p.now, nil)
	p.press()
	require.True(t, p.ready())
	kept := p.lines.FilterMessage("listener kept open").All()
	require.Len(t, kept, 1)
	require.Equal(t, string(admission.KeptNotReached), kept[0].ContextMap()["Reason"])
	p.members.AnswerProbe(p.now, []fleet.Member{{VM: "vm-1", Incarnation: 1}})
	p.press()
	require.False(t, p.ready())
}

// TestAddressInUseIsTriedAgain guards against a router that reports ready without a listener because its address was taken.
func TestAddressInUseIsTriedAgain(t *testing.T) {
	p := newPressedGateway(t, Features{RefuseConnections: true})
	p.press()
	blocker, err := net.Listen("tcp4", p.address)
	require.NoError(t, err)
	p.now = p.now.Add(admission.MaxClosed)
	for range 3 {
		require.True(t, p.admission.tick(p.now), "the next attempt comes soon")
		p.now = p.now.Add(admissionPeriod)
		require.False(t, p.ready())
	}
	require.Equal(t, 3, p.lines.FilterMessage("listener not opened").Len())
	require.NoError(t, blocker.Close())
	p.admission.tick(p.now)
	require.True(t, p.ready())
	caller, in := connect(t, p.address)
	exchange(t, caller, in)
}

// TestShutdownOpensTheListener guards against callers with a cached address that find no listener while the router drains.
func TestShutdownOpensTheListener(t *testing.T) {
	p := newPressedGateway(t, Features{RefuseConnections: true})
	p.press()
	require.True(t, p.admission.closed())
	var stopped sync.WaitGroup
	stopped.Go(func() { p.Shutdown(p.now) })
	require.Eventually(t, func() bool { return !p.admission.closed() }, eventually, pollInterval)
	caller, in := connect(t, p.address)
	require.True(t, exchange(t, caller, in).Close)
	require.False(t, p.ready())
	stopped.Wait()
	require.Equal(t, fleet.Draining, p.lastTold().State)
	require.False(t, p.lastTold().Closed)
	p.now = p.now.Add(time.Minute)
	p.press()
	require.False(t, p.admission.closed(), "a router that drains does not close")
}

// TestShortListsBeginWithFreeRouters guards against callers that take the first address of a short list and so all choose the same
// router, or one that is overloaded.
func TestShortListsBeginWithFreeRouters(t *testing.T) {
	local := localRouters(newFleet(5), "dc-1") // One of them has half of the capacity.
	local[0].Load = 1
	first := map[string]int{}
	const callers = 2000
	for i := range callers {
		list := byFreeCapacity(local, strconv.Itoa(i))
		require.ElementsMatch(t, local, list)
		first[list[0].VM]++
	}
	require.Less(t, first[local[0].VM], callers/100)
	require.InDelta(t, 250.0/450, float64(first["dc-1-large-0"])/callers, 0.05)
	local[0].Size = 0
	require.Equal(t, local, byFreeCapacity(local, "caller"), "no router is left out")
}

// TestClosedRoutersAreNotListed guards against callers that are sent to a router that refuses them, and against empty lists.
func TestClosedRoutersAreNotListed(t *testing.T) {
	all := newFleet(5)
	closed := all[0].VM
	all[0].Closed = true
	require.False(t, slices.ContainsFunc(accepting(all), func(m fleet.Member) bool { return m.VM == closed }))
	require.Len(t, accepting(all), len(all)-1)
	for i := range all {
		all[i].Closed = true
	}
	require.Equal(t, all, accepting(all))
}
