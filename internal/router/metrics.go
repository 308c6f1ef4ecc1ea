package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/pkg/burn"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// metrics are the router's OpenTelemetry instruments.
type metrics struct {
	registry   *prometheus.Registry
	requests   metric.Int64Counter
	tokens     metric.Int64Counter
	firstToken metric.Float64Histogram
	between    metric.Float64Histogram
}

func newMetrics(r *Router) (*metrics, error) {
	m := &metrics{registry: prometheus.NewRegistry()}
	exported, err := exporter.New(exporter.WithRegisterer(m.registry))
	if err != nil {
		return nil, errors.Wrap(err, "making the metrics exporter")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exported)).Meter("foxtaillanding")
	var errs [5]error
	m.requests, errs[0] = meter.Int64Counter("foxtaillanding.requests", metric.WithDescription("Requests by team and outcome."))
	m.tokens, errs[1] = meter.Int64Counter("foxtaillanding.billed_tokens", metric.WithDescription("Tokens billed by budget."))
	m.firstToken, errs[2] = meter.Float64Histogram("foxtaillanding.first_token", metric.WithUnit("s"),
		metric.WithDescription("Time to the first token."),
		metric.WithExplicitBucketBoundaries(0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 5, 10, 30))
	m.between, errs[3] = meter.Float64Histogram("foxtaillanding.between_tokens", metric.WithUnit("s"),
		metric.WithDescription("Mean time between tokens of one answer."),
		metric.WithExplicitBucketBoundaries(0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.2, 0.5, 1))
	_, errs[4] = meter.Int64ObservableGauge("foxtaillanding.in_flight", metric.WithDescription("Requests whose answers are not yet written."), metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(r.inFlight.Load())
			return nil
		}))
	for _, err := range errs {
		if err != nil {
			return nil, errors.Wrap(err, "making the metrics instruments")
		}
	}
	return m, nil
}

func (m *metrics) handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
}

func (m *metrics) billed(budget string, tokens int64) {
	m.tokens.Add(context.Background(), tokens, metric.WithAttributes(attribute.String("budget", budget)))
}

func (m *metrics) ended(team, outcome string) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("team", team), attribute.String("outcome", outcome)))
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
		zap.String("Stage", string(w.stage)), zap.String("Outcome", outcomeName(refused)),
		zap.Duration("Took", now.Sub(w.arrived)), zap.Int64("Tokens", w.cost()))
	r.metrics.ended(team.Name, outcomeName(refused))
	if w.stage != stageEntry {
		return
	}
	levels := team.Levels.WithDefaults()
	note := func(level burn.Level, good bool) {
		r.levels.Note(now, burn.Series{Team: team.Name, Service: w.request.Model, Level: level}, levels.TargetPercent, good)
	}
	note(burn.Success, refused == nil)
	if refused != nil {
		note(burn.TruthfulRefusal, !w.sent || refused.Kind.Answer().Ran != refusal.NotRun)
		note(burn.FalseRefusal, refused.Kind != refusal.BudgetExhausted || !r.budgetHad(w))
	}
	r.observeSpeed(w, func(d time.Duration) {
		r.metrics.firstToken.Record(context.Background(), d.Seconds())
		note(burn.FirstToken, d <= time.Duration(levels.FirstTokenMilliseconds)*time.Millisecond)
	}, func(d time.Duration) {
		r.metrics.between.Record(context.Background(), d.Seconds())
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
	r.levels.Note(now, series, team.Levels.WithDefaults().TargetPercent, result.refused == nil)
}
