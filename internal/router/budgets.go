package router

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/platform"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// budgetKey is the store key of a budget's record.
func budgetKey(name string) string { return "Budgets/" + name }

// budgets carries out what the budget holder decides.
type budgets struct {
	r *Router

	mu     sync.Mutex
	holder budget.Holder // Guarded by mu.

	decisions waiters[budget.Action]
	recalls   waiters[struct{}]
	raises    waiters[bool]
}

func (b *budgets) handle(now time.Time, ev budget.Event) {
	for _, action := range locked(&b.mu, b.holder.Handle, now, ev) {
		b.perform(now, action)
	}
}

func (b *budgets) perform(now time.Time, action budget.Action) {
	switch action := action.(type) {
	case budget.Dispatch:
		if !b.decisions.send(action.Request, action) {
			b.handle(now, budget.Settle{Request: action.Request})
		}
	case budget.Refuse:
		b.decisions.send(action.Request, action)
	case budget.Forward:
		if !b.decisions.send(action.Request, action) {
			b.handle(now, budget.ForwardTaken{Request: action.Request})
		}
	case budget.Load:
		b.r.background(func() { b.load(action) })
	case budget.Commit:
		b.r.background(func() { b.commit(action) })
	case budget.Recall:
		b.r.background(func() { b.recall(action) })
	case budget.Raise:
		b.r.background(func() { b.raise(action) })
	case budget.AnswerRaise:
		b.raises.send(action.ID, action.Acknowledged)
	case budget.AnswerRecall:
		b.recalls.send(action.ID, struct{}{})
	case budget.Bill:
		b.r.metrics.billed(action.Budget, action.Tokens)
		b.r.log.Info("billed", zap.String("Request", action.Request), zap.String("Budget", action.Budget), zap.Int64("Tokens", action.Tokens))
	}
}

func (b *budgets) load(action budget.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	record, version, err := readRecord(ctx, b.r.cfg.Store, action.Budget)
	if err != nil {
		b.r.log.Warn("budget not read", zap.String("Budget", action.Budget), zap.Error(err))
		b.handle(time.Now(), budget.LoadFailed{Budget: action.Budget})
		return
	}
	b.handle(time.Now(), budget.Loaded{Budget: action.Budget, Version: version, Record: record})
}

func (b *budgets) commit(action budget.Commit) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	written, err := writeRecord(ctx, b.r.cfg.Store, action.Record, action.Version)
	if err != nil {
		b.r.log.Warn("budget not written", zap.String("Budget", action.Budget), zap.Error(err))
	}
	b.handle(time.Now(), budget.Committed{Budget: action.Budget, Outcome: written.Outcome, Version: written.Version})
}

func (b *budgets) recall(action budget.Recall) {
	err := b.r.peers.recall(action.Peer, action.Budget)
	if err != nil {
		b.r.log.Warn("recall failed", zap.String("Peer", action.Peer), zap.Error(err))
	}
	b.handle(time.Now(), budget.RecallDone{Budget: action.Budget, Peer: action.Peer})
}

// raise asks the witness of a budget for a higher ceiling.
func (b *budgets) raise(action budget.Raise) {
	acknowledged, err := b.r.peers.raise(action)
	if err != nil {
		b.r.log.Warn("ceiling not raised", zap.String("Witness", action.Witness), zap.Error(err))
	}
	b.handle(time.Now(), budget.RaiseDone{Raise: action, Acknowledged: acknowledged})
}

// answerRaise decides as a witness on a peer's ceiling.
func (b *budgets) answerRaise(message raiseMessage) bool {
	id := newID()
	done := b.raises.open(id)
	defer b.raises.close(id)
	b.handle(time.Now(), budget.RaiseWanted{
		Budget:  message.Budget,
		Holder:  message.Holder,
		Seals:   message.Seals,
		Ceiling: message.Ceiling,
		Spent:   message.Spent,
		ID:      id,
	})
	return <-done
}

// answerRecall returns unused tokens because a peer asked for them, and waits until that is done.
func (b *budgets) answerRecall(name string) {
	id := newID()
	done := b.recalls.open(id)
	defer b.recalls.close(id)
	b.handle(time.Now(), budget.RecallWanted{Budget: name, ID: id})
	select {
	case <-done:
	case <-time.After(peerTimeout):
	}
}

func (b *budgets) views() []budget.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.Views()
}

func (b *budgets) view(name string) (budget.View, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.View(name)
}

func (b *budgets) drained() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.Drained()
}

// readRecord reads a budget's record; a budget that does not exist is an empty record of version 0.
func readRecord(ctx context.Context, store platform.Store, name string) (budget.Record, uint64, error) {
	record := budget.Record{Budget: name}
	entry, err := store.Get(ctx, budgetKey(name))
	if err != nil || entry.Version == 0 {
		return record, 0, err
	}
	if err := decodeStrict(entry.Value, &record); err != nil {
		return record, 0, err
	}
	return record, entry.Version, record.Check()
}

func writeRecord(ctx context.Context, store platform.Store, record budget.Record, version uint64) (platform.Written, error) {
	if err := record.Check(); err != nil {
		return platform.Written{Outcome: budget.NoEffect}, err
	}
	value, err := json.Marshal(record)
	if err != nil {
		return platform.Written{Outcome: budget.NoEffect}, err
	}
	return store.Put(ctx, platform.Put{Key: budgetKey(record.Budget), Value: value, IfVersion: version})
}

// PutRecord creates a budget's record; it fails when the budget exists.
func PutRecord(ctx context.Context, store platform.Store, record budget.Record) error {
	written, err := writeRecord(ctx, store, record, 0)
	if err == nil && written.Outcome != budget.TookEffect {
		err = errors.Newf("budget %s exists", record.Budget)
	}
	return err
}
