package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/strict"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// budgetKey is the store key of a budget's record.
const (
	storeTimeout  = time.Second
	recallTimeout = 2 * time.Second // Longest wait of a peer for returned tokens.
)

func budgetKey(name string) string { return "Budgets/" + name }

// Peers calls the other routers.
type Peers interface {
	// Recall asks a router to return its unused tokens of a budget.
	Recall(peer, budget string) error
	// Raise asks a witness to acknowledge a ceiling.
	Raise(action budget.Raise) (bool, error)
	// Entrust asks a router to close an account whose holder stops.
	Entrust(peer string, left budget.OrphanedAccount) error
}

// Ledger is one router's part of all budgets.
type Ledger struct {
	Store      keyvalue.Store
	Peers      Peers
	Log        *zap.Logger
	Background func(func())      // Runs a store or peer call.
	Billed     func(budget.Bill) // Nil when nobody counts bills.

	// Decisions takes what was decided about each request.
	Decisions decision.Waiters[budget.Action]

	name    string // Of the holder; set before the first event.
	loans   loans
	recalls decision.Waiters[struct{}]
	raises  decision.Waiters[bool]

	entrusting sync.WaitGroup // Accounts on their way to peers.

	mu     sync.Mutex
	holder budget.Holder // Guarded by mu.
}

// Open sets the name of the holder, a router incarnation, and its policy before the first event.
func (b *Ledger) Open(name string, policy budget.Policy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.name = name
	b.holder = budget.Holder{Name: name, Policy: policy}
}

// Handle applies one event and carries out what follows from it.
func (b *Ledger) Handle(now time.Time, ev budget.Event) {
	for _, action := range decision.Locked(&b.mu, b.holder.Handle, now, ev) {
		b.perform(now, action)
	}
}

func (b *Ledger) perform(now time.Time, action budget.Action) {
	switch action := action.(type) {
	case budget.Dispatch:
		if !b.Decisions.Send(action.Request, action) {
			b.Handle(now, budget.Settle{Request: action.Request})
		}
	case budget.Refuse:
		b.Decisions.Send(action.Request, action)
	case budget.Forward:
		if !b.Decisions.Send(action.Request, action) {
			b.Handle(now, budget.ForwardAccepted{Request: action.Request})
		}
	case budget.Load:
		b.Background(func() { b.load(action) })
	case budget.Commit:
		b.Background(func() { b.commit(action) })
	case budget.Recall:
		b.Background(func() { b.recall(action) })
	case budget.Raise:
		b.Background(func() { b.raise(action) })
	case budget.Entrust:
		for _, peer := range action.Peers {
			b.entrusting.Add(1)
			b.Background(func() { b.entrust(peer, action.OrphanedAccount) })
		}
	case budget.AnswerRaise:
		b.raises.Send(action.ID, action.Acknowledged)
	case budget.AnswerRecall:
		b.recalls.Send(action.ID, struct{}{})
	case budget.Bill:
		if b.Billed != nil {
			b.Billed(action)
		}
		b.Log.Info("billed", zap.String("Request", action.Request), zap.String("Budget", action.Budget), zap.Int64("Tokens", action.Tokens))
	}
}

func (b *Ledger) load(action budget.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	record, version, err := ReadRecord(ctx, b.Store, action.Budget)
	if err != nil {
		b.Log.Warn("budget not read", zap.String("Budget", action.Budget), logfile.Problem(err))
		b.Handle(time.Now(), budget.LoadFailed{Budget: action.Budget})
		return
	}
	b.Handle(time.Now(), budget.Loaded{Budget: action.Budget, Version: version, Record: record})
}

func (b *Ledger) commit(action budget.Commit) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	written, err := WriteRecord(ctx, b.Store, action.Record, action.Version)
	b.logWrite(action, written, err)
	b.Handle(time.Now(), budget.Committed{
		Budget:  action.Budget,
		Outcome: written.Outcome,
		Version: written.Version,
		Current: b.current(action.Budget, written.Current),
	})
}

// logWrite records what a write was to change and what came of it.
func (b *Ledger) logWrite(action budget.Commit, written keyvalue.Written, err error) {
	if err != nil {
		b.Log.Warn("budget not written", zap.String("Budget", action.Budget), zap.Stringer("Outcome", written.Outcome), logfile.Problem(err))
		return
	}
	row := action.Record.Holders[b.name]
	b.Log.Info("budget written", zap.String("Budget", action.Budget), zap.Stringer("Outcome", written.Outcome),
		zap.Uint64("Base", action.Version), zap.Uint64("Version", written.Version), zap.Int("Holders", len(action.Record.Holders)),
		zap.Int64("Granted", row.Granted), zap.Int64("Returned", row.Returned), zap.Int64("Spent", row.Spent), zap.Int64("Free", action.Record.Free()))
}

// current returns the record that stood in the way of a write, or nil.
func (b *Ledger) current(name string, entry *keyvalue.Entry) *budget.Loaded {
	if entry == nil {
		return nil
	}
	record, err := decodeRecord(name, *entry)
	if err != nil {
		b.Log.Warn("budget not read", zap.String("Budget", name), logfile.Problem(err))
		return nil
	}
	return &budget.Loaded{Budget: name, Version: entry.Version, Record: record}
}

func (b *Ledger) recall(action budget.Recall) {
	err := b.Peers.Recall(action.Peer, action.Budget)
	if err != nil {
		b.Log.Warn("recall failed", zap.String("Peer", action.Peer), logfile.Problem(err))
	}
	b.Handle(time.Now(), budget.RecallDone{Budget: action.Budget, Peer: action.Peer})
}

func (b *Ledger) entrust(peer string, left budget.OrphanedAccount) {
	defer b.entrusting.Done()
	if err := b.Peers.Entrust(peer, left); err != nil {
		b.Log.Warn("account not entrusted", zap.String("Budget", left.Budget), zap.String("Peer", peer), logfile.Problem(err))
	}
}

// Leave hands what could not be closed to peers and waits until that is done; nothing is reserved any more.
func (b *Ledger) Leave(now time.Time) {
	b.Handle(now, budget.Leave{})
	b.entrusting.Wait()
}

// raise asks the witness of a budget for a higher ceiling.
func (b *Ledger) raise(action budget.Raise) {
	acknowledged, err := b.Peers.Raise(action)
	if err != nil {
		b.Log.Warn("ceiling not raised", zap.String("Witness", action.Witness), logfile.Problem(err))
	}
	b.Handle(time.Now(), budget.RaiseDone{Raise: action, Acknowledged: acknowledged})
}

// AnswerRaise decides as a witness on a peer's ceiling.
func (b *Ledger) AnswerRaise(holder string, wanted budget.Raise) bool {
	id := uuid.NewString()
	done := b.raises.Open(id)
	defer b.raises.Close(id)
	b.Handle(time.Now(), budget.RaiseRequested{
		Budget:  wanted.Budget,
		Holder:  holder,
		Seals:   wanted.Seals,
		Ceiling: wanted.Ceiling,
		Spent:   wanted.Spent,
		ID:      id,
	})
	return <-done
}

// AnswerRecall returns unused tokens because a peer asked for them, and waits until that is done.
func (b *Ledger) AnswerRecall(name string) {
	id := uuid.NewString()
	done := b.recalls.Open(id)
	defer b.recalls.Close(id)
	b.Handle(time.Now(), budget.RecallRequested{Budget: name, ID: id})
	select {
	case <-done:
	case <-time.After(recallTimeout):
	}
}

// Views returns the state of each budget that the holder has met.
func (b *Ledger) Views() []budget.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.Views()
}

// Rehome tells the holder of which of its budgets this router is a home.
func (b *Ledger) Rehome(now time.Time, home func(name string) bool) {
	b.mu.Lock()
	names := b.holder.Budgets()
	b.mu.Unlock()
	for _, name := range names {
		b.Handle(now, budget.HomeChanged{Budget: name, Home: home(name)})
	}
}

// View returns the state of one budget, and whether the holder keeps it.
func (b *Ledger) View(name string) (budget.View, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.View(name)
}

// Drained reports whether a draining holder has closed all its accounts.
func (b *Ledger) Drained() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.Drained()
}

// ReadRecord reads a budget's record; a budget that does not exist is an empty record of version 0.
func ReadRecord(ctx context.Context, store keyvalue.Store, name string) (budget.Record, uint64, error) {
	entry, err := store.Get(ctx, budgetKey(name))
	if err != nil || entry.Version == 0 {
		return budget.Record{Budget: name}, 0, err
	}
	record, err := decodeRecord(name, entry)
	return record, entry.Version, err
}

func decodeRecord(name string, entry keyvalue.Entry) (budget.Record, error) {
	record := budget.Record{Budget: name}
	if err := strict.Decode(entry.Value, &record); err != nil {
		return record, err
	}
	return record, record.Check()
}

// WriteRecord writes a budget's record if its version is still the given one.
func WriteRecord(ctx context.Context, store keyvalue.Store, record budget.Record, version uint64) (keyvalue.Written, error) {
	if err := record.Check(); err != nil {
		return keyvalue.Written{Outcome: budget.NoEffect}, err
	}
	value, err := json.Marshal(record)
	if err != nil {
		return keyvalue.Written{Outcome: budget.NoEffect}, err
	}
	return store.Put(ctx, keyvalue.Put{Key: budgetKey(record.Budget), Value: value, IfVersion: version})
}

// PutRecord creates a budget's record; it fails when the budget exists.
func PutRecord(ctx context.Context, store keyvalue.Store, record budget.Record) error {
	written, err := WriteRecord(ctx, store, record, 0)
	if err == nil && written.Outcome != budget.TookEffect {
		err = errors.Newf("budget %s exists", record.Budget)
	}
	return err
}
