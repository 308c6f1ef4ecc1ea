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

const (
	storeTimeout  = time.Second     // Of one store call.
	recallTimeout = 2 * time.Second // How long AnswerRecall waits for tokens to be returned.
)

// budgetKey returns the store key of a budget's record.
func budgetKey(name string) string { return "Budgets/" + name }

// Peers sends the ledger's requests to other routers.
type Peers interface {
	// Recall asks a peer to return its unused tokens of a budget.
	Recall(peer, budget string) error
	// Raise asks a witness to acknowledge a higher ceiling and reports whether it did.
	Raise(action budget.Raise) (bool, error)
	// Entrust asks a peer to close an account whose holder is stopping.
	Entrust(peer string, account budget.OrphanedAccount) error
}

// Ledger keeps one router's accounts of all budgets. Its exported fields are set before the first event.
type Ledger struct {
	Store      keyvalue.Store
	Peers      Peers
	Log        *zap.Logger
	Background func(func())      // Runs a store or peer call asynchronously.
	OnWaiting  func()            // Called when a request begins to wait for tokens; may be nil.
	OnBill     func(budget.Bill) // Called for each bill; may be nil.

	// Decisions delivers the holder's decisions about each request.
	Decisions decision.Waiters[budget.Action]

	name    string // Name of the holder; set by Init.
	loans   loans
	recalls decision.Waiters[struct{}]
	raises  decision.Waiters[bool]

	entrustCalls sync.WaitGroup // Calls of Peers.Entrust in flight.

	mu     sync.Mutex
	holder budget.Holder // Guarded by mu.
}

// Init sets the name of the holder, which is that of a router incarnation, and its policy. It is called before the first
// event.
func (l *Ledger) Init(name string, policy budget.Policy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.name = name
	l.holder = budget.Holder{Name: name, Policy: policy}
}

// Handle applies an event to the holder and executes the resulting actions.
func (l *Ledger) Handle(now time.Time, ev budget.Event) {
	for _, action := range decision.Apply(&l.mu, l.holder.Handle, now, ev) {
		l.perform(now, action)
	}
	if _, isReserve := ev.(budget.Reserve); isReserve && l.OnWaiting != nil && l.Waiting() > 0 {
		l.OnWaiting()
	}
}

// Waiting returns the number of requests that wait for tokens.
func (l *Ledger) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Waiting()
}

// perform executes one action. If the request of a Dispatch or Forward no longer waits for it, the request is ended at
// the holder; a dispatched one is settled with zero tokens.
func (l *Ledger) perform(now time.Time, action budget.Action) {
	switch action := action.(type) {
	case budget.Dispatch:
		if !l.Decisions.Send(action.Request, action) {
			l.Handle(now, budget.Settle{Request: action.Request})
		}
	case budget.Refuse:
		l.Decisions.Send(action.Request, action)
	case budget.Forward:
		if !l.Decisions.Send(action.Request, action) {
			l.Handle(now, budget.ForwardAccepted{Request: action.Request})
		}
	case budget.Load:
		l.Background(func() { l.load(action) })
	case budget.Commit:
		l.Background(func() { l.commit(action) })
	case budget.Recall:
		l.Background(func() { l.recall(action) })
	case budget.Raise:
		l.Background(func() { l.raise(action) })
	case budget.Entrust:
		for _, peer := range action.Peers {
			l.entrustCalls.Add(1)
			l.Background(func() { l.entrust(peer, action.OrphanedAccount) })
		}
	case budget.AnswerRaise:
		l.raises.Send(action.ID, action.Acknowledged)
	case budget.AnswerRecall:
		l.recalls.Send(action.ID, struct{}{})
	case budget.Sealed:
		l.Log.Info("account sealed", zap.String("Budget", action.Budget), zap.String("Holder", action.Holder),
			zap.Int64("Returned", action.Returned), zap.Int64("Kept", action.Kept))
	case budget.Bill:
		if l.OnBill != nil {
			l.OnBill(action)
		}
		l.Log.Info("billed", zap.String("Request", action.Request), zap.String("Budget", action.Budget), zap.Int64("Tokens", action.Tokens))
	}
}

func (l *Ledger) load(action budget.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	read := l.Store.Get
	if action.Stale {
		read = l.Store.GetStale
	}
	record, version, err := readRecord(ctx, read, action.Budget)
	if err != nil {
		l.Log.Warn("budget not read", zap.String("Budget", action.Budget), logfile.Error(err))
		l.Handle(time.Now(), budget.LoadFailed{Budget: action.Budget})
		return
	}
	l.Handle(time.Now(), budget.Loaded{Budget: action.Budget, Version: version, Record: record, Stale: action.Stale})
}

func (l *Ledger) commit(action budget.Commit) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	written, err := WriteRecord(ctx, l.Store, action.Record, action.Version)
	l.logWrite(action, written, err)
	l.Handle(time.Now(), budget.Committed{
		Budget:  action.Budget,
		Outcome: written.Outcome,
		Version: written.Version,
		Current: l.current(action.Budget, written.Current),
	})
}

// logWrite logs the outcome of a write and the account that it was to store.
func (l *Ledger) logWrite(action budget.Commit, written keyvalue.WriteResult, err error) {
	if err != nil {
		l.Log.Warn("budget not written", zap.String("Budget", action.Budget), zap.Stringer("Outcome", written.Outcome), logfile.Error(err))
		return
	}
	account := action.Record.Holders[l.name]
	l.Log.Info("budget written", zap.String("Budget", action.Budget), zap.Stringer("Outcome", written.Outcome),
		zap.Uint64("Base", action.Version), zap.Uint64("Version", written.Version), zap.Int("Holders", len(action.Record.Holders)),
		zap.Int64("Granted", account.Granted), zap.Int64("Returned", account.Returned), zap.Int64("Spent", account.Spent), zap.Int64("Free", action.Record.Free()))
}

// current decodes the stored record that made a conditional write fail. It returns nil if there is none or it is invalid.
func (l *Ledger) current(name string, entry *keyvalue.Entry) *budget.Loaded {
	if entry == nil {
		return nil
	}
	record, err := decodeRecord(name, *entry)
	if err != nil {
		l.Log.Warn("budget not read", zap.String("Budget", name), logfile.Error(err))
		return nil
	}
	return &budget.Loaded{Budget: name, Version: entry.Version, Record: record}
}

func (l *Ledger) recall(action budget.Recall) {
	err := l.Peers.Recall(action.Peer, action.Budget)
	if err != nil {
		l.Log.Warn("recall failed", zap.String("Peer", action.Peer), logfile.Error(err))
	}
	l.Handle(time.Now(), budget.RecallDone{Budget: action.Budget, Peer: action.Peer})
}

func (l *Ledger) entrust(peer string, account budget.OrphanedAccount) {
	defer l.entrustCalls.Done()
	if err := l.Peers.Entrust(peer, account); err != nil {
		l.Log.Warn("account not entrusted", zap.String("Budget", account.Budget), zap.String("Peer", peer), logfile.Error(err))
	}
}

// Leave entrusts to peers the accounts that could not be closed, and waits for those calls. The holder reserves nothing
// afterwards.
func (l *Ledger) Leave(now time.Time) {
	l.Handle(now, budget.Leave{})
	l.entrustCalls.Wait()
}

// raise asks the witness of a budget for a higher ceiling.
func (l *Ledger) raise(action budget.Raise) {
	acknowledged, err := l.Peers.Raise(action)
	if err != nil {
		l.Log.Warn("ceiling not raised", zap.String("Witness", action.Witness), logfile.Error(err))
	}
	l.Handle(time.Now(), budget.RaiseDone{Raise: action, Acknowledged: acknowledged})
}

// AnswerRaise reports whether this router, as the witness of a peer's account, acknowledges a higher ceiling.
func (l *Ledger) AnswerRaise(holder string, wanted budget.Raise) bool {
	id := uuid.NewString()
	done := l.raises.Open(id)
	defer l.raises.Close(id)
	l.Handle(time.Now(), budget.RaiseRequested{
		Budget:  wanted.Budget,
		Holder:  holder,
		Seals:   wanted.Seals,
		Ceiling: wanted.Ceiling,
		Spent:   wanted.Spent,
		ID:      id,
	})
	return <-done
}

// AnswerRecall returns unused tokens at the request of a peer and waits until they are returned, or for recallTimeout.
func (l *Ledger) AnswerRecall(name string) {
	id := uuid.NewString()
	done := l.recalls.Open(id)
	defer l.recalls.Close(id)
	l.Handle(time.Now(), budget.RecallRequested{Budget: name, ID: id})
	select {
	case <-done:
	case <-time.After(recallTimeout):
	}
}

// Views returns the state of each budget that the holder has an account of, sorted by name.
func (l *Ledger) Views() []budget.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Views()
}

// UpdateHomes passes to the holder whether this router is a home of each of its budgets.
//
// A home of a budget holds grants of it ready.
func (l *Ledger) UpdateHomes(now time.Time, home func(name string) bool) {
	l.mu.Lock()
	names := l.holder.Budgets()
	l.mu.Unlock()
	for _, name := range names {
		l.Handle(now, budget.HomeChanged{Budget: name, Home: home(name)})
	}
}

// View returns the state of one budget and whether the holder has an account of it.
func (l *Ledger) View(name string) (budget.View, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.View(name)
}

// Drained reports whether the holder is draining and all its accounts are closed or fenced.
func (l *Ledger) Drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Drained()
}

// ReadRecord reads a budget's record and its version. If the budget does not exist, the record is empty and the version 0.
func ReadRecord(ctx context.Context, store keyvalue.Store, name string) (budget.Record, uint64, error) {
	return readRecord(ctx, store.Get, name)
}

func readRecord(ctx context.Context, read func(context.Context, string) (keyvalue.Entry, error), name string) (budget.Record, uint64, error) {
	entry, err := read(ctx, budgetKey(name))
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

// WriteRecord writes a budget's record on the condition that the stored version is still the given one.
//
// An invalid record is not written.
func WriteRecord(ctx context.Context, store keyvalue.Store, record budget.Record, version uint64) (keyvalue.WriteResult, error) {
	if err := record.Check(); err != nil {
		return keyvalue.WriteResult{Outcome: budget.NoEffect}, err
	}
	value, err := json.Marshal(record)
	if err != nil {
		return keyvalue.WriteResult{Outcome: budget.NoEffect}, err
	}
	return store.Put(ctx, keyvalue.Put{Key: budgetKey(record.Budget), Value: value, IfVersion: version})
}

// PutRecord creates a budget's record. It fails if the budget already exists.
func PutRecord(ctx context.Context, store keyvalue.Store, record budget.Record) error {
	written, err := WriteRecord(ctx, store, record, 0)
	if err == nil && written.Outcome != budget.TookEffect {
		err = errors.Newf("budget %s already exists", record.Budget)
	}
	return err
}
