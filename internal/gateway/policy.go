package gateway

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// budgetPolicy sizes grants so that a router can keep serving while the store is unreachable, and its crash strands few tokens.
func budgetPolicy() budget.Policy {
	return budget.Policy{
		// Each of the two homes of a budget holds up to a fifth of what is free and its own. Together they hold a third of what is left,
		// which a loss of all routers strands, and while plenty is left they bridge outages of the store that overlap.
		Horizon:        20 * time.Second,
		MinHorizon:     2 * time.Second,
		ReserveDivisor: 5,

		Step:         2 * time.Second,
		ShareDivisor: 3,
		SealAfter:    6 * time.Second,
		FlushEvery:   5 * time.Second,
		ReturnAfter:  30 * time.Second,
		RetireAfter:  10 * time.Minute,
		Backoff:      300 * time.Millisecond,
		RecallEvery:  2 * time.Second,
		MaxRecordAge: 2 * time.Second, // Above the default, because totals arrive with the configuration and other routers rarely return tokens.
	}
}

// endpointPolicy returns the policy of the endpoint pool. Its retry limits keep all routers together within the limit of the fleet.
func (g *Gateway) endpointPolicy() endpoint.Policy {
	retries := retryLimits(g.cfg.Settings.Retry)
	return endpoint.Policy{
		Seed:              uint64(g.started.UnixNano()),
		ReportLag:         time.Millisecond,
		RetryRatio:        retries.RetryRatio,
		FleetRetryReserve: retries.FleetRetryReserve,
		BaseEjectionTime:  500 * time.Millisecond,
		MaxEjectionTime:   4 * time.Second,
		MaxQueue:          1024,
		ColdExcess:        float64(g.cfg.Settings.Cold.Excess),
		ColdSlack:         float64(g.cfg.Settings.Cold.Slack),
	}
}

// retryLimits returns the retry limits of the settings reduced by a margin, since routers count slightly later than endpoints.
func retryLimits(r RetrySettings) endpoint.RetryBudgetChanged {
	const margin = 0.8
	return endpoint.RetryBudgetChanged{RetryRatio: margin * float64(r.Ratio), FleetRetryReserve: margin * float64(r.Slack)}
}

// perRouter divides a rate that the store grants to all routers together by the size of the smallest fleet.
func perRouter(rate float64) int {
	const minRouters = 4
	return max(1, int(rate/minRouters))
}
