package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// Asked is a caller's request as its head tells it.
type Asked struct {
	request.Message

	Path string        // The target without its query.
	Key  string        // API key.
	Wait time.Duration // Time for which the caller waits; zero when it does not say.
}

// Dialect translates between callers, endpoints, operators and the gateway.
type Dialect interface {
	request.Codec

	// Request reads a caller's request without its body.
	Request(h *fasthttp.RequestHeader) (Asked, error)
	// Refuse writes a refusal.
	Refuse(resp *fasthttp.Response, refused *refusal.Error)
	// Directory reads a caller's question which addresses to use; ok is false when it is none.
	Directory(ctx *fasthttp.RequestCtx) (q DirectoryQuery, ok bool)
	// Addresses writes the answer to such a question.
	Addresses(ctx *fasthttp.RequestCtx, addresses []string, keep time.Duration)
	// Readiness reports whether a request asks whether the router is ready.
	Readiness(ctx *fasthttp.RequestCtx) bool
	// Configuration reads the configuration.
	Configuration(value []byte) (route.Configuration, error)
	// ConfigurationKey returns the configuration's key in the store.
	ConfigurationKey() string
	// Entry reads what an endpoint says of itself in the store.
	Entry(key string, value []byte) (Entry, error)
	// EntryName returns the name of the endpoint whose entry has a key.
	EntryName(key string) string
	// EntryPrefix returns the prefix of all entries in the store.
	EntryPrefix() string
}

// DirectoryQuery is what a caller says when it asks which addresses to use.
type DirectoryQuery struct {
	Host       string
	Region     string
	DataCentre string
}

// Entry is what an endpoint says of itself in the store.
type Entry struct {
	Name       string // Of this incarnation, unless Born tells two apart.
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool
	Born       int64 // Unix milliseconds of its start; zero when unknown.
}
