package router

import (
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/telemetry"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/burn"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// metrics holds the metric instruments of the router.
type metrics struct {
	*telemetry.Registry

	requests      telemetry.Counter
	tokens        telemetry.Counter
	firstToken    telemetry.Histogram
	betweenTokens telemetry.Histogram
}

func newMetrics(r *Router) (*metrics, error) {
	t := telemetry.New()
	m := &metrics{
		Registry: t,
		requests: t.Counter("requests", "Requests by team and outcome."),
		tokens:   t.Counter("billed_tokens", "Tokens billed by budget."),
		firstToken: t.Histogram("first_token", "Time to the first token.",
			0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 5, 10, 30),
		betweenTokens: t.Histogram("between_tokens", "Mean time between tokens of one answer.",
			0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.2, 0.5, 1),
	}
	t.Gauge("in_flight", "Requests whose answers are not yet written.", r.inFlight.Load)
	return m, t.Err()
}

func (m *metrics) addBilledTokens(b budget.Bill) {
	m.tokens.Add(b.Tokens, attribute.String("budget", b.Budget))
}

func (m *metrics) requestFinished(team, outcome string) {
	m.requests.Add(1, attribute.String("team", team), attribute.String("outcome", outcome))
}

// outcomeName returns the name of an outcome in logs and metrics.
func outcomeName(refused *refusal.Error) string {
	if refused == nil {
		return "Answered"
	}
	return refused.Kind.String()
}

// recordRequest records the end of a model request in the log, the metrics and the service levels.
//
// Only the router that received the request from its caller records service
// levels and token times; a home to which the request was forwarded does not.
func (r *Router) recordRequest(m *modelRequest, refused *refusal.Error) {
	now := time.Now()
	team := m.caller.team
	r.log.Info("request",
		zap.String("Request", m.id), zap.String("Team", team.Name), zap.String("Account", m.caller.account.Name),
		zap.Bool("AtHome", m.atHome), zap.String("Outcome", outcomeName(refused)),
		zap.Duration("Took", now.Sub(m.arrived)), zap.Int64("Tokens", m.billedUsage().TotalTokens))
	r.metrics.requestFinished(team.Name, outcomeName(refused))
	if m.atHome {
		return
	}
	levels := team.Levels.WithDefaults()
	record := func(level burn.Level, good bool) {
		r.levels.Record(now, burn.Series{Team: team.Name, Service: m.request.Model, Level: level}, levels.TargetPercent, good)
	}
	record(burn.Success, refused == nil)
	if refused != nil {
		record(burn.TruthfulRefusal, !m.mayHaveRun || refused.Kind.Answer().Ran != refusal.NotRun)
		record(burn.FalseRefusal, refused.Kind != refusal.BudgetExhausted || !r.budgetCovered(m))
	}
	r.recordTokenTimes(m, func(d time.Duration) {
		r.metrics.firstToken.Record(d.Seconds())
		record(burn.FirstToken, d <= time.Duration(levels.FirstTokenMilliseconds)*time.Millisecond)
	}, func(d time.Duration) {
		r.metrics.betweenTokens.Record(d.Seconds())
		record(burn.BetweenTokens, d <= time.Duration(levels.BetweenTokensMilliseconds)*time.Millisecond)
	})
}

// recordTokenTimes passes the time to the first token to first, and the mean time between tokens to between.
func (r *Router) recordTokenTimes(m *modelRequest, first, between func(time.Duration)) {
	if m.firstChunkAt.IsZero() {
		return
	}
	first(m.firstChunkAt.Sub(m.arrived))
	if n := m.assembler.Next(); n > 1 {
		between(m.lastChunkAt.Sub(m.firstChunkAt) / time.Duration(n-1))
	}
}

// budgetCovered reports whether the budget, according to the record last read, had enough tokens for the refused request.
func (r *Router) budgetCovered(m *modelRequest) bool {
	v, ok := r.budgets.View(m.caller.team.Budget)
	return ok && v.Prepaid-v.Spent >= m.worstCase()
}

// recordCall records the end of a service call in the log, the metrics and the service levels.
func (r *Router) recordCall(c *serviceCall, result callResult) {
	now := time.Now()
	team := c.caller.team
	r.log.Info("call",
		zap.String("Request", c.id), zap.String("Team", team.Name), zap.String("Account", c.caller.account.Name),
		zap.String("Service", c.service), zap.String("Call", c.call.Name), zap.String("Outcome", outcomeName(result.refused)))
	r.metrics.requestFinished(team.Name, outcomeName(result.refused))
	series := burn.Series{Team: team.Name, Service: c.service, Level: burn.Success}
	r.levels.Record(now, series, team.Levels.WithDefaults().TargetPercent, result.refused == nil)
}
