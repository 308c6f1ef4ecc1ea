package router

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	frouter "github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/strict"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// Paths for operators.
const (
	AdminStatusPath   = "/Admin/Status"
	AdminBurnPath     = "/Admin/Burn"
	AdminSettingsPath = "/Admin/Settings"
	AdminBudgetPath   = "/Admin/Budgets/{budget}"
	AdminTopUpPath    = "/Admin/Budgets/{budget}/TopUps"
	AdminClosePath    = "/Admin/Budgets/{budget}/Close"
)

// Headers of settings answers.
const (
	HeaderRevision     = "X-Revision"      // Of the whole tree.
	HeaderPathRevision = "X-Path-Revision" // Of the subtree.
)

// Status is what a router tells operators about itself.
type Status struct {
	VM         string
	Revision   uint64
	Draining   bool
	InFlight   int64
	Waiting    int // Requests that wait for an endpoint.
	Members    []MemberState
	Endpoints  []endpoint.View
	Suspects   []endpoint.Suspicion
	Budgets    []budget.View
	OrdersOpen int // Orders whose outcome is not yet recorded.
}

// MemberState is a VM as a router sees it.
type MemberState struct {
	VM         string
	Name       string // Of the incarnation, under which it holds tokens.
	DataCentre string
	Address    string
	State      string
	Load       float64 // Part of its capacity that is in use, 0 to 1.
	Revision   uint64  // Settings in force there.
}

// TopUp adds prepaid tokens to a budget; the same ID counts once.
type TopUp struct {
	ID     string
	Tokens int64
}

// Close ends the account of a lost router and frees what it held.
type Close struct{ Holder string }

// BudgetState is a budget as the store holds it, with the figures worked out.
type BudgetState struct {
	Record  budget.Record
	Prepaid int64
	Spent   int64
	Free    int64
	Held    map[string]int64 // Tokens by holder that are granted and not reported as spent.
	Lost    []string         // Holders that no live router answers for.
}

func (r *Router) adminRoutes(routes *frouter.Router) {
	routes.GET(AdminStatusPath, r.adminOnly(func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, r.Status()) }))
	routes.GET(AdminBurnPath, r.adminOnly(func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, r.levels.Rows(time.Now())) }))
	routes.GET(AdminSettingsPath, r.adminOnly(r.serveSettings))
	routes.PUT(AdminSettingsPath, r.adminOnly(r.serveChange))
	routes.GET(AdminBudgetPath, r.adminOnly(r.serveBudget))
	routes.POST(AdminTopUpPath, r.adminOnly(r.serveTopUp))
	routes.POST(AdminClosePath, r.adminOnly(r.serveClose))
}

func (r *Router) adminOnly(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !sameSecret(settings.HashKey(bearer(ctx)), r.snapshot().tree.Fleet.AdminSHA256) {
			writeRefusal(ctx, refusal.New(refusal.Forbidden, "the operators' key is needed"))
			return
		}
		handler(ctx)
	}
}

// Status returns the router's state.
func (r *Router) Status() Status {
	seen := r.endpoints.State(time.Now())
	return Status{
		VM:         r.cfg.VM,
		Revision:   r.configuration.revision(),
		Draining:   r.draining.Load(),
		InFlight:   r.inFlight.Load(),
		Waiting:    seen.Waiting,
		Members:    r.members.states(),
		Endpoints:  seen.Endpoints,
		Suspects:   seen.Suspects,
		Budgets:    r.budgets.Views(),
		OrdersOpen: r.orders.pending(),
	}
}

func (r *Router) serveSettings(ctx *fasthttp.RequestCtx) {
	path := string(ctx.QueryArgs().Peek("Path"))
	head := r.configuration.head()
	version, ok := head.Paths[path]
	content, inForce := r.configuration.subtree(path, version)
	if !ok || !inForce {
		writeRefusal(ctx, refusal.New(refusal.NotFound, "settings path "+path))
		return
	}
	ctx.Response.Header.Set(HeaderRevision, strconv.FormatUint(head.Revision, 10))
	ctx.Response.Header.Set(HeaderPathRevision, strconv.FormatUint(version.Revision, 10))
	ctx.SetContentType("application/toml")
	ctx.SetBody(content)
}

// serveChange accepts a change of one subtree: Path, Base (the path's revision) and Change (its ID) in the query, TOML in the body.
func (r *Router) serveChange(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	base, err := strconv.ParseUint(string(args.Peek("Base")), 10, 64)
	if err != nil {
		writeRefusal(ctx, refusal.New(refusal.BadRequest, "Base is not a revision"))
		return
	}
	change := settings.Change{
		ID:           string(args.Peek("Change")),
		Path:         string(args.Peek("Path")),
		BaseRevision: base,
		Content:      append([]byte(nil), ctx.PostBody()...),
	}
	limited, cancel := context.WithTimeout(context.Background(), 3*storeTimeout)
	defer cancel()
	head, err := r.configuration.change(limited, change)
	if err != nil {
		writeRefusal(ctx, changeRefusal(err))
		return
	}
	ctx.Response.Header.Set(HeaderRevision, strconv.FormatUint(head.Revision, 10))
	writeJSON(ctx, head)
}

func changeRefusal(err error) *refusal.Error {
	var problems settings.Problems
	switch {
	case errors.Is(err, settings.ErrConflict):
		return refusal.New(refusal.SettingsConflict, err.Error())
	case errors.As(err, &problems), errors.Is(err, settings.ErrNoChange):
		return refusal.New(refusal.SettingsInvalid, err.Error())
	case errors.Is(err, keyvalue.ErrUnavailable), errors.Is(err, keyvalue.ErrLimited):
		return refusal.New(refusal.ChangeUnknown, err.Error())
	default:
		return refusal.From(err)
	}
}

func (r *Router) serveBudget(ctx *fasthttp.RequestCtx) {
	limited, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	name, _ := ctx.UserValue("budget").(string)
	record, version, err := ledger.ReadRecord(limited, r.cfg.Store, name)
	if err != nil {
		writeRefusal(ctx, refusal.New(refusal.StoreUnavailable, err.Error()))
		return
	}
	if version == 0 {
		writeRefusal(ctx, refusal.New(refusal.NotFound, "budget "+name))
		return
	}
	writeJSON(ctx, r.budgetState(record))
}

func (r *Router) budgetState(record budget.Record) BudgetState {
	state := BudgetState{
		Record:  record,
		Prepaid: record.Prepaid(),
		Spent:   record.Spent(),
		Free:    record.Free(),
		Held:    map[string]int64{},
	}
	live := map[string]bool{}
	for _, m := range r.members.All() {
		live[m.Name()] = m.State <= fleet.Draining
	}
	for name, a := range record.Holders {
		state.Held[name] = a.Held()
		if !live[name] {
			state.Lost = append(state.Lost, name)
		}
	}
	return state
}

func (r *Router) serveTopUp(ctx *fasthttp.RequestCtx) {
	var topUp TopUp
	if err := strict.Decode(ctx.PostBody(), &topUp); err != nil {
		writeRefusal(ctx, refusal.New(refusal.BadRequest, err.Error()))
		return
	}
	r.changeBudget(ctx, func(record budget.Record) (budget.Record, error) {
		return record.TopUp(topUp.ID, topUp.Tokens)
	})
}

func (r *Router) serveClose(ctx *fasthttp.RequestCtx) {
	var message Close
	if err := strict.Decode(ctx.PostBody(), &message); err != nil {
		writeRefusal(ctx, refusal.New(refusal.BadRequest, err.Error()))
		return
	}
	for _, m := range r.members.All() {
		if m.Name() == message.Holder && m.State <= fleet.Draining {
			writeRefusal(ctx, refusal.New(refusal.BadRequest, message.Holder+" is alive; drain it instead"))
			return
		}
	}
	r.changeBudget(ctx, func(record budget.Record) (budget.Record, error) {
		return record.Close(message.Holder)
	})
}

// changeBudget applies an operator's change to a record until the store takes it.
//
// Each change is idempotent by itself, so that it is safe to apply it again
// after a write of unknown outcome.
func (r *Router) changeBudget(ctx *fasthttp.RequestCtx, change func(budget.Record) (budget.Record, error)) {
	limited, cancel := context.WithTimeout(context.Background(), 3*storeTimeout)
	defer cancel()
	name, _ := ctx.UserValue("budget").(string)
	state, err := r.tryChange(limited, name, change)
	switch {
	case err == nil:
		writeJSON(ctx, state)
	case errors.IsAny(err, budget.ErrTopUpChanged, budget.ErrTopUpAmount, budget.ErrUnknownHolder):
		writeRefusal(ctx, refusal.New(refusal.BadRequest, err.Error()))
	default:
		writeRefusal(ctx, refusal.New(refusal.ChangeUnknown, err.Error()))
	}
}

func (r *Router) tryChange(ctx context.Context, name string, change func(budget.Record) (budget.Record, error)) (BudgetState, error) {
	for ctx.Err() == nil {
		record, version, err := ledger.ReadRecord(ctx, r.cfg.Store, name)
		if err != nil {
			return BudgetState{}, err
		}
		next, err := change(record)
		if err != nil {
			return BudgetState{}, err
		}
		written, err := ledger.WriteRecord(ctx, r.cfg.Store, next, version)
		if written.Outcome == budget.TookEffect {
			return r.budgetState(next), nil
		}
		if written.Outcome == budget.NoEffect && err != nil {
			return BudgetState{}, err
		}
	}
	return BudgetState{}, errors.Newf("budget %s was not changed in time", name)
}

// DecodeStatus reads the JSON of a Status.
func DecodeStatus(body []byte) (Status, error) {
	var s Status
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("decoding a router's status: %w", err)
	}
	return s, nil
}
