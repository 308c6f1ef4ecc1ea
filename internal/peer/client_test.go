package peer

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/membership"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// serve answers the messages of other routers at a loopback address and returns the address.
func serve(t *testing.T, s *Service) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		answer, _, err := s.Answer(string(ctx.Path()), ctx.PostBody())
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
		}
		ctx.SetBody(answer)
	}}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// newClient returns the client of a router that knows the lender vm-1 at an address as its incarnation 1.
func newClient(lender string) *Client {
	c := NewClient(time.Second)
	c.Log = zap.NewNop()
	c.Background = func(f func()) { f() }
	c.Endpoints = &placement.Endpoints{}
	c.Members = &membership.Members{Budgets: &ledger.Ledger{}, Endpoints: c.Endpoints, Background: func(func()) {}}
	c.Members.Init(fleet.Member{VM: "vm-2", Incarnation: 1, Address: "b:1", DataCentre: "dc", Size: 1})
	c.Members.Handle(time.Now(), fleet.Configured{VMs: []fleet.ConfiguredVM{{VM: "vm-1", Address: lender, DataCentre: "dc", Size: 1}}})
	c.Members.AnswerProbe(time.Now(), []fleet.Member{{VM: "vm-1", Incarnation: 1, Address: lender, DataCentre: "dc", Size: 1}})
	return c
}

// TestLoanIsSettledAfterItsLenderProvesToBeANewIncarnation replays the start of routers after a loss of power of all.
//
// A router read the lender's registration from before the loss and reserved under that name at the new incarnation,
// which has the same address. Once it knew the new name, it no longer found the lender, so each such loan was held
// until it expired and then billed in full.
func TestLoanIsSettledAfterItsLenderProvesToBeANewIncarnation(t *testing.T) {
	lender := newService(t, 1000)
	address := serve(t, lender)
	c := newClient(address)
	answer, err := c.Reserve("vm-1.1", ledger.Loan{Request: "run-1", Budget: "team", Tokens: 600, KeepMilliseconds: time.Minute.Milliseconds()})
	require.NoError(t, err)
	require.True(t, answer.Granted)
	c.Members.AnswerProbe(time.Now(), []fleet.Member{{VM: "vm-1", Incarnation: 2, Address: address, DataCentre: "dc", Size: 1}})
	_, known := c.Members.Address("vm-1.1")
	require.False(t, known)
	c.Settle("vm-1.1", ledger.Settlement{Request: "run-1", Tokens: 250})
	view, _ := lender.Budgets.View("team")
	require.Zero(t, view.Reserved)
	require.EqualValues(t, 250, view.Account.Spent)
}
