package router

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/strict"
	"github.com/foxtaillanding/foxtaillanding/pkg/order"
)

// orders carries out the actions of the order coordinator.
type orders struct {
	r *Router

	mu          sync.Mutex
	coordinator order.Coordinator // Guarded by mu.

	decisions decision.Waiters[order.Action] // By request.
}

func (o *orders) handle(now time.Time, ev order.Event) {
	for _, action := range decision.Apply(&o.mu, o.coordinator.Handle, now, ev) {
		o.perform(now, action)
	}
}

func (o *orders) perform(now time.Time, action order.Action) {
	switch action := action.(type) {
	case order.Send:
		if !o.decisions.Send(action.Request, action) {
			// The decision did not reach the request, so the order was not sent.
			o.handle(now, order.Failed{Request: action.Request, Sent: false})
		}
	case order.Reply:
		o.decisions.Send(action.Request, action)
	case order.Refuse:
		o.decisions.Send(action.Request, action)
	case order.ReadClaim:
		o.r.background(func() { o.readClaim(action) })
	case order.WriteClaim:
		o.r.background(func() { o.writeClaim(action) })
	}
}

func (o *orders) readClaim(action order.ReadClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	entry, err := o.r.cfg.Store.Get(ctx, action.Key)
	var claim storedClaim
	if err == nil && entry.Version != 0 {
		err = strict.Decode(entry.Value, &claim)
	}
	if err != nil {
		o.r.log.Warn("claim not read", zap.Error(err))
		o.handle(time.Now(), order.ClaimReadFailed{Key: action.Key})
		return
	}
	o.handle(time.Now(), order.ClaimRead{Key: action.Key, Version: entry.Version, Claim: claim.Claim})
}

func (o *orders) writeClaim(action order.WriteClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	written := keyvalue.WriteResult{}
	value, err := json.Marshal(storedClaim{action.Claim, time.Now().Add(o.retention()).Unix()})
	if err == nil {
		written, err = o.r.cfg.Store.Put(ctx, keyvalue.Put{Key: action.Key, Value: value, IfVersion: action.Version})
	}
	if err != nil {
		o.r.log.Warn("claim not written", zap.Error(err))
	}
	o.handle(time.Now(), order.ClaimWritten{Key: action.Key, Outcome: written.Outcome, Version: written.Version})
}

func (o *orders) tick(now time.Time) { o.handle(now, order.Tick{}) }

func (o *orders) pending() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.coordinator.Pending()
}
