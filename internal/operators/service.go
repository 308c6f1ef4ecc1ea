package operators

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	frouter "github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/credential"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/membership"
	"github.com/foxtaillanding/foxtaillanding/internal/response"
	"github.com/foxtaillanding/foxtaillanding/internal/strict"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// Paths of the operators' API.
const (
	StatusPath   = "/Admin/Status"
	BurnPath     = "/Admin/Burn"
	SettingsPath = "/Admin/Settings"
	BudgetPath   = "/Admin/Budgets/{budget}"
	TopUpPath    = "/Admin/Budgets/{budget}/TopUps"
	ClosePath    = "/Admin/Budgets/{budget}/Close"
)

// storeTimeout is the timeout of one call to the store.
const storeTimeout = 2 * time.Second

// Headers of answers about settings.
const (
	HeaderRevision     = "X-Revision"      // Revision of the whole tree.
	HeaderPathRevision = "X-Path-Revision" // Revision of the subtree.
)

// Status is the state of a router as shown to operators.
type Status struct {
	VM         string
	Revision   uint64 // Revision of the settings in force.
	Draining   bool
	InFlight   int64 // Requests in flight.
	Waiting    int   // Requests waiting for an endpoint.
	Members    []MemberState
	Endpoints  []endpoint.View
	Suspects   []endpoint.Suspicion
	Budgets    []budget.View
	OrdersOpen int // Orders whose outcome is not yet recorded.
}

// MemberState is the state of a VM as known to one router.
type MemberState struct {
	VM         string
	Name       string // Name of the incarnation, which is also the holder name of its tokens.
	DataCentre string
	Address    string
	State      string
	Load       float64 // Fraction of the capacity in use, 0 to 1.
	Revision   uint64  // Revision of the settings in force there.
}

// TopUp adds prepaid tokens to a budget; it takes effect once per ID.
type TopUp struct {
	ID     string
	Tokens int64
}

// Close closes the account of a lost router and frees the tokens that it held.
type Close struct{ Holder string }

// BudgetState is the stored record of a budget, with figures computed from it.
type BudgetState struct {
	Record  budget.Record
	Prepaid int64
	Spent   int64
	Free    int64
	Held    map[string]int64 // Tokens granted and not reported as spent, by holder.
	Lost    []string         // Holders that are neither alive nor draining.
}

// Settings reads and changes the settings in force; configuration.Configuration implements it.
type Settings interface {
	// Head returns the revision in force and the versions of its paths.
	Head() settings.Head
	// Subtree returns the content of a path if the given version of it is in force.
	Subtree(path string, version settings.Version) ([]byte, bool)
	// Change submits a change and returns the head in which it is accepted.
	Change(ctx context.Context, change settings.Change) (settings.Head, error)
}

// Service serves the operators' API; its fields are set before the first call.
type Service struct {
	Store    keyvalue.Store
	Members  *membership.Members
	Settings Settings
	Status   func() Status
	Levels   func(now time.Time) any // State of the service levels, encoded as JSON in the answer.
	KeyHash  func() string           // Hash of the operators' key, as returned by settings.HashKey.
}

// Routes registers the handlers of the operators' API.
func (s *Service) Routes(routes *frouter.Router) {
	routes.GET(StatusPath, s.requireKey(func(ctx *fasthttp.RequestCtx) { response.JSON(ctx, s.Status()) }))
	routes.GET(BurnPath, s.requireKey(func(ctx *fasthttp.RequestCtx) { response.JSON(ctx, s.Levels(time.Now())) }))
	routes.GET(SettingsPath, s.requireKey(s.serveSettings))
	routes.PUT(SettingsPath, s.requireKey(s.serveChange))
	routes.GET(BudgetPath, s.requireKey(s.serveBudget))
	routes.POST(TopUpPath, s.requireKey(s.serveTopUp))
	routes.POST(ClosePath, s.requireKey(s.serveClose))
}

// requireKey refuses calls without the operators' key.
func (s *Service) requireKey(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !credential.Equal(settings.HashKey(credential.Bearer(ctx)), s.KeyHash()) {
			response.Refuse(ctx, refusal.New(refusal.Forbidden, "the operators' key is needed"))
			return
		}
		handler(ctx)
	}
}

func (s *Service) serveSettings(ctx *fasthttp.RequestCtx) {
	path := string(ctx.QueryArgs().Peek("Path"))
	head := s.Settings.Head()
	version, ok := head.Paths[path]
	content, inForce := s.Settings.Subtree(path, version)
	if !ok || !inForce {
		response.Refuse(ctx, refusal.New(refusal.NotFound, "settings path "+path))
		return
	}
	ctx.Response.Header.Set(HeaderRevision, strconv.FormatUint(head.Revision, 10))
	ctx.Response.Header.Set(HeaderPathRevision, strconv.FormatUint(version.Revision, 10))
	ctx.SetContentType("application/toml")
	ctx.SetBody(content)
}

// serveChange changes one subtree of the settings.
//
// The query holds Path, Base (the revision of the path that the change is based
// on) and Change (the ID of the change); the body is the new subtree as TOML.
func (s *Service) serveChange(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	base, err := strconv.ParseUint(string(args.Peek("Base")), 10, 64)
	if err != nil {
		response.Refuse(ctx, refusal.New(refusal.BadRequest, "Base is not a revision"))
		return
	}
	change := settings.Change{
		ID:           string(args.Peek("Change")),
		Path:         string(args.Peek("Path")),
		BaseRevision: base,
		Content:      append([]byte(nil), ctx.PostBody()...),
	}
	storeCtx, cancel := context.WithTimeout(context.Background(), 3*storeTimeout)
	defer cancel()
	head, err := s.Settings.Change(storeCtx, change)
	if err != nil {
		response.Refuse(ctx, changeRefusal(err))
		return
	}
	ctx.Response.Header.Set(HeaderRevision, strconv.FormatUint(head.Revision, 10))
	response.JSON(ctx, head)
}

// changeRefusal converts an error of Settings.Change to a refusal.
func changeRefusal(err error) *refusal.Error {
	var problems settings.Problems
	switch {
	case errors.Is(err, settings.ErrConflict):
		return refusal.New(refusal.SettingsConflict, err.Error())
	case errors.As(err, &problems), errors.Is(err, settings.ErrIncompleteChange):
		return refusal.New(refusal.SettingsInvalid, err.Error())
	case errors.Is(err, keyvalue.ErrUnavailable), errors.Is(err, keyvalue.ErrLimited):
		return refusal.New(refusal.ChangeUnknown, err.Error())
	default:
		return refusal.From(err)
	}
}

func (s *Service) serveBudget(ctx *fasthttp.RequestCtx) {
	storeCtx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	name, _ := ctx.UserValue("budget").(string)
	record, version, err := ledger.ReadRecord(storeCtx, s.Store, name)
	if err != nil {
		response.Refuse(ctx, refusal.New(refusal.StoreUnavailable, err.Error()))
		return
	}
	if version == 0 {
		response.Refuse(ctx, refusal.New(refusal.NotFound, "budget "+name))
		return
	}
	response.JSON(ctx, s.budgetState(record))
}

func (s *Service) budgetState(record budget.Record) BudgetState {
	state := BudgetState{
		Record:  record,
		Prepaid: record.Prepaid(),
		Spent:   record.Spent(),
		Free:    record.Free(),
		Held:    map[string]int64{},
	}
	live := map[string]bool{}
	for _, m := range s.Members.All() {
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

func (s *Service) serveTopUp(ctx *fasthttp.RequestCtx) {
	var topUp TopUp
	if err := strict.Decode(ctx.PostBody(), &topUp); err != nil {
		response.Refuse(ctx, refusal.New(refusal.BadRequest, err.Error()))
		return
	}
	s.changeBudget(ctx, func(record budget.Record) (budget.Record, error) {
		return record.TopUp(topUp.ID, topUp.Tokens)
	})
}

func (s *Service) serveClose(ctx *fasthttp.RequestCtx) {
	var message Close
	if err := strict.Decode(ctx.PostBody(), &message); err != nil {
		response.Refuse(ctx, refusal.New(refusal.BadRequest, err.Error()))
		return
	}
	for _, m := range s.Members.All() {
		if m.Name() == message.Holder && m.State <= fleet.Draining {
			response.Refuse(ctx, refusal.New(refusal.BadRequest, message.Holder+" is alive; drain it instead"))
			return
		}
	}
	s.changeBudget(ctx, func(record budget.Record) (budget.Record, error) {
		return record.Close(message.Holder)
	})
}

// changeBudget applies an operator's change to the record of a budget and answers the call.
//
// A change has no further effect when applied again, so it is safe to repeat it
// after a write of unknown outcome.
func (s *Service) changeBudget(ctx *fasthttp.RequestCtx, change func(budget.Record) (budget.Record, error)) {
	storeCtx, cancel := context.WithTimeout(context.Background(), 3*storeTimeout)
	defer cancel()
	name, _ := ctx.UserValue("budget").(string)
	state, err := s.applyChange(storeCtx, name, change)
	switch {
	case err == nil:
		response.JSON(ctx, state)
	case errors.IsAny(err, budget.ErrTopUpChanged, budget.ErrTopUpAmount, budget.ErrUnknownHolder):
		response.Refuse(ctx, refusal.New(refusal.BadRequest, err.Error()))
	default:
		response.Refuse(ctx, refusal.New(refusal.ChangeUnknown, err.Error()))
	}
}

// applyChange repeats the conditional write of a change until it takes effect, fails for certain or ctx ends.
func (s *Service) applyChange(ctx context.Context, name string, change func(budget.Record) (budget.Record, error)) (BudgetState, error) {
	for ctx.Err() == nil {
		record, version, err := ledger.ReadRecord(ctx, s.Store, name)
		if err != nil {
			return BudgetState{}, err
		}
		next, err := change(record)
		if err != nil {
			return BudgetState{}, err
		}
		written, err := ledger.WriteRecord(ctx, s.Store, next, version)
		if written.Outcome == budget.TookEffect {
			return s.budgetState(next), nil
		}
		if written.Outcome == budget.NoEffect && err != nil {
			return BudgetState{}, err
		}
	}
	return BudgetState{}, errors.Newf("budget %s was not changed in time", name)
}

// DecodeStatus decodes a Status from JSON.
func DecodeStatus(body []byte) (Status, error) {
	var status Status
	return status, errors.Wrap(json.Unmarshal(body, &status), "decoding a router's status")
}
