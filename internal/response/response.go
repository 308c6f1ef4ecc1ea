package response

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Refuse answers with a refusal, discarding any response set before.
func Refuse(ctx *fasthttp.RequestCtx, refused *refusal.Error) {
	ctx.Response.Reset()
	ctx.SetStatusCode(refused.Kind.Answer().Status)
	if after := refusal.Seconds(refused.RetryAfter()); after > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(after, 10))
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(refused.JSON())
}

// JSON answers with a value encoded as JSON.
func JSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		Refuse(ctx, refusal.New(refusal.Internal, err.Error()))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
