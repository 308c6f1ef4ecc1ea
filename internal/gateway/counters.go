package gateway

import (
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// counters counts what the gateway does.
type counters struct{}

func (c *counters) connection(_ bool) {}

func (c *counters) ended(_, _ string, _ time.Duration) {}

func (c *counters) serve(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) }

// observe logs and counts the answer of a request.
func (r *run) observe(out *reply) {
	outcome := "Answered"
	status := out.Status
	if out.Refused != nil {
		outcome = out.Refused.Kind.String()
		status = out.Refused.Kind.Answer().Status
	}
	took := time.Since(r.arrived)
	r.g.counters.ended(r.route.Kind.String(), outcome, took)
	r.g.log.Info("request",
		zap.String("Request", r.req.ID), zap.String("Run", r.id), zap.String("Route", r.route.Name), zap.Uint64("Version", r.version),
		zap.String("Outcome", outcome), zap.Int("Status", status), zap.Int("Attempts", r.attempts), zap.Bool("Ran", r.ran), zap.Duration("Took", took))
}
