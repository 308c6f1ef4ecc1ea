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

// metrics are the router's instruments.
type metrics struct {
	*telemetry.Registry

	requests   telemetry.Counter
	tokens     telemetry.Counter
	firstToken telemetry.Histogram
	between    telemetry.Histogram
}

func newMetrics(r *Router) (*metrics, error) {
	t := telemetry.New()
	m := &metrics{
		Registry: t,
		requests: t.Counter("requests", "Requests by team and outcome."),
		tokens:   t.Counter("billed_tokens", "Tokens billed by budget."),
		firstToken: t.Histogram("first_token", "Time to the first token.",
			0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 5, 10, 30),
		between: t.Histogram("between_tokens", "Mean time between tokens of one answer.",
			0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.2, 0.5, 1),
	}
	t.Gauge("in_flight", "Requests whose answers are not yet written.", r.inFlight.Load)
	return m, t.Err()
}

func (m *metrics) billed(b budget.Bill) { m.tokens.Add(b.Tokens, attribute.String("budget", b.Budget)) }

func (m *metrics) ended(team, outcome string) {
	m.requests.Add(1, attribute.String("team", team), attribute.String("outcome", outcome))
}

// outcomeName is the outcome as logs and metrics spell it.
func outcomeName(refused *refusal.Error) string {
	if refused == nil {
		return "Answered"
	}
	return refused.Kind.String()
}

// observe records the end of a model request in the log, the metrics and the service levels.
//
// A request that another router served is counted there.
func (r *Router) observe(w *work, refused *refusal.Error) {
	now := time.Now()
	team := w.caller.team
	r.log.Info("request",
		zap.String("Request", w.id), zap.String("Team", team.Name), zap.String("Account", w.caller.account.Name),
		zap.Bool("AtHome", w.atHome), zap.String("Outcome", outcomeName(refused)),
		zap.Duration("Took", now.Sub(w.arrived)), zap.Int64("Tokens", w.billed().TotalTokens))
	r.metrics.ended(team.Name, outcomeName(refused))
	if w.atHome {
		return
	}
	levels := team.Levels.WithDefaults()
	note := func(level burn.Level, good bool) {
		r.levels.Record(now, burn.Series{Team: team.Name, Service: w.request.Model, Level: level}, levels.TargetPercent, good)
	}
	note(burn.Success, refused == nil)
	if refused != nil {
		note(burn.TruthfulRefusal, !w.sent || refused.Kind.Answer().Ran != refusal.NotRun)
		note(burn.FalseRefusal, refused.Kind != refusal.BudgetExhausted || !r.budgetHad(w))
	}
	r.observeSpeed(w, func(d time.Duration) {
		r.metrics.firstToken.Record(d.Seconds())
		note(burn.FirstToken, d <= time.Duration(levels.FirstTokenMilliseconds)*time.Millisecond)
	}, func(d time.Duration) {
		r.metrics.between.Record(d.Seconds())
		note(burn.BetweenTokens, d <= time.Duration(levels.BetweenTokensMilliseconds)*time.Millisecond)
	})
}

func (r *Router) observeSpeed(w *work, first, between func(time.Duration)) {
	if w.firstAt.IsZero() {
		return
	}
	first(w.firstAt.Sub(w.arrived))
	if n := w.assembler.Next(); n > 1 {
		between(w.lastAt.Sub(w.firstAt) / time.Duration(n-1))
	}
}

// budgetHad reports whether the budget, as last read, had the tokens for a request that was refused.
func (r *Router) budgetHad(w *work) bool {
	v, ok := r.budgets.View(w.caller.team.Budget)
	return ok && v.Prepaid-v.Spent >= w.worstCase()
}

func (r *Router) observeCall(c *serviceCall, result callResult) {
	now := time.Now()
	team := c.caller.team
	r.log.Info("call",
		zap.String("Request", c.id), zap.String("Team", team.Name), zap.String("Account", c.caller.account.Name),
		zap.String("Service", c.service), zap.String("Call", c.call.Name), zap.String("Outcome", outcomeName(result.refused)))
	r.metrics.ended(team.Name, outcomeName(result.refused))
	series := burn.Series{Team: team.Name, Service: c.service, Level: burn.Success}
	r.levels.Record(now, series, team.Levels.WithDefaults().TargetPercent, result.refused == nil)
}
