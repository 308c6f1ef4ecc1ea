package credential

import (
	"crypto/subtle"
	"strings"

	"github.com/valyala/fasthttp"
)

// Bearer returns the bearer token of the Authorization header, or an empty string.
func Bearer(ctx *fasthttp.RequestCtx) string {
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// Equal reports whether two secrets are equal, in a time that does not depend on their contents.
func Equal(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
