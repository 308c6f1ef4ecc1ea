package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/strict"
	"github.com/foxtaillanding/foxtaillanding/pkg/order"
)

// claimPrefix is the prefix of the claims in the store.
const claimPrefix = "Orders/"

// keptClaim is a claim as it stands in the store.
type keptClaim struct {
	order.Claim

	KeptUntil int64 // Unix seconds; afterwards its key may be used again.
}

// Limits of the sweep that removes old claims.
const (
	sweepPeriod = 10 * time.Minute
	sweepMost   = 500       // Claims removed in one sweep.
	sweepMargin = time.Hour // Clocks of VMs differ.
)

func (o *orders) retention() time.Duration {
	return time.Duration(o.r.snapshot().limits.OrderRetentionSeconds) * time.Second
}

// sweep removes old claims if this router is the one that does so.
func (o *orders) sweep(now time.Time) {
	homes := o.r.members.Homes(claimPrefix, 1)
	if len(homes) != 1 || homes[0] != o.r.peers.Self() {
		return
	}
	o.r.background(func() { o.removeOld(now) })
}

func (o *orders) removeOld(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), sweepPeriod/2)
	defer cancel()
	entries, err := o.r.cfg.Store.List(ctx, claimPrefix)
	if err != nil {
		o.r.log.Warn("claims not read", logfile.Error(err))
		return
	}
	old := oldClaims(now, entries)
	for _, e := range old {
		if _, err := o.r.cfg.Store.Remove(ctx, e.Key, e.Version); err != nil {
			o.r.log.Warn("claim not removed", zap.String("Key", e.Key), logfile.Error(err))
			return
		}
	}
	if len(old) > 0 {
		o.r.log.Info("old claims removed", zap.Int("Claims", len(old)), zap.Int("Read", len(entries)))
	}
}

// oldClaims returns the claims whose time has passed, at most as many as one sweep removes.
//
// One that cannot be read stays: it may be a newer router's.
func oldClaims(now time.Time, entries []keyvalue.Entry) []keyvalue.Entry {
	var old []keyvalue.Entry
	for _, e := range entries {
		var claim keptClaim
		if strict.Decode(e.Value, &claim) != nil || claim.KeptUntil == 0 || now.Before(time.Unix(claim.KeptUntil, 0).Add(sweepMargin)) {
			continue
		}
		old = append(old, e)
		if len(old) == sweepMost {
			break
		}
	}
	return old
}
