package gateway

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// Header is one header line.
type Header struct{ Name, Value string }

// Request is a caller's request: opaque bytes and the facts that decide how it is handled.
type Request struct {
	ID           string // The caller's name of it, told to the endpoint.
	Method       string
	Target       string // Path and query as the caller sent them.
	Host         string
	Path         string
	Headers      []Header // To be passed on.
	Body         []byte
	Key          string        // API key.
	Wait         time.Duration // Time for which the caller waits; zero when it does not say.
	LastEvent    string        // ID of the event after which a stream goes on.
	Model        bool          // The request describes a prompt.
	PromptTokens int64
	OutputTokens int64 // At most.
	Parts        []endpoint.Part
}

// Forwarding is what the router adds to a request for one attempt.
type Forwarding struct {
	Endpoint  string // Its ID; another endpoint at the address refuses the request.
	Account   string
	Wait      time.Duration // Time that is left.
	LastEvent string
	Urgency   int // 0 comes first.
	Model     bool
}

// Facts are what an endpoint says about its answer beside status and body.
type Facts struct {
	ID      string // Of the request that it answers.
	Sealed  bool   // The endpoint made the answer itself.
	NotRun  bool   // The endpoint says that it did not run the request.
	Encoded bool   // The body is not the one that the endpoint sealed.
	Load    *Load
}

// Load is an endpoint's own count of its work.
type Load struct{ Running, Waiting, Slots int }

// Dialect translates between callers, endpoints and the gateway.
type Dialect interface {
	// Request reads a caller's request without its body.
	Request(h *fasthttp.RequestHeader) (Request, error)
	// Forward returns the headers of one attempt.
	Forward(r *Request, f Forwarding) []Header
	// Answer reads the head of an endpoint's answer.
	Answer(status int, h http.Header) Facts
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
