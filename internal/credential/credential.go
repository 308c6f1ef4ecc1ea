package credential

import (
	"crypto/subtle"
	"strings"

	"github.com/valyala/fasthttp"
)

// Bearer returns the key that a request carries, or nothing.
func Bearer(ctx *fasthttp.RequestCtx) string {
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// Same compares two secrets in a time that tells nothing about them.
func Same(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
