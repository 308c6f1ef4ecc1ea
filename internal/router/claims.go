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

// claimPrefix is the prefix of the claims' store keys.
const claimPrefix = "Orders/"

// storedClaim is the stored form of a claim.
type storedClaim struct {
	order.Claim

	KeptUntil int64 // Expiry in Unix seconds, after which the key may be used again.
}

// Limits of the sweep that removes expired claims.
const (
	sweepPeriod = 10 * time.Minute
	sweepLimit  = 500       // Maximum number of claims removed in one sweep.
	sweepMargin = time.Hour // Added to the expiry, since the clocks of the VMs differ.
)

func (o *orders) retention() time.Duration {
	return time.Duration(o.r.snapshot().limits.OrderRetentionSeconds) * time.Second
}

// sweep removes expired claims if this router is the home of the prefix, so that in general only one router does.
func (o *orders) sweep(now time.Time) {
	homes := o.r.members.Homes(claimPrefix, 1)
	if len(homes) != 1 || homes[0] != o.r.peers.Self() {
		return
	}
	o.r.background(func() { o.removeExpired(now) })
}

func (o *orders) removeExpired(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), sweepPeriod/2)
	defer cancel()
	entries, err := o.r.cfg.Store.List(ctx, claimPrefix)
	if err != nil {
		o.r.log.Warn("claims not read", logfile.Error(err))
		return
	}
	expired := expiredClaims(now, entries)
	for _, e := range expired {
		if _, err := o.r.cfg.Store.Remove(ctx, e.Key, e.Version); err != nil {
			o.r.log.Warn("claim not removed", zap.String("Key", e.Key), logfile.Error(err))
			return
		}
	}
	if len(expired) > 0 {
		o.r.log.Info("old claims removed", zap.Int("Claims", len(expired)), zap.Int("Read", len(entries)))
	}
}

// expiredClaims returns the expired claims, at most sweepLimit.
//
// A claim that cannot be decoded is not returned: a newer version of the router
// may have written it.
func expiredClaims(now time.Time, entries []keyvalue.Entry) []keyvalue.Entry {
	var expired []keyvalue.Entry
	for _, e := range entries {
		var claim storedClaim
		if strict.Decode(e.Value, &claim) != nil || claim.KeptUntil == 0 || now.Before(time.Unix(claim.KeptUntil, 0).Add(sweepMargin)) {
			continue
		}
		expired = append(expired, e)
		if len(expired) == sweepLimit {
			break
		}
	}
	return expired
}
