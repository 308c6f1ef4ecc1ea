package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/request"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// RequestHead holds the metadata in the head of a caller's request; the body of its Message is not set.
type RequestHead struct {
	request.Message

	Path    string        // Target without its query.
	Key     string        // API key.
	Timeout time.Duration // Time for which the caller waits; zero if it states none.
}

// Dialect translates between the gateway and its callers, endpoints and operators.
type Dialect interface {
	request.Codec

	// Request parses the head of a caller's request.
	Request(h *fasthttp.RequestHeader) (RequestHead, error)
	// Refuse writes a refusal as the response.
	Refuse(resp *fasthttp.Response, refusalErr *refusal.Error)
	// Directory parses a caller's query for the addresses to use; ok is false if the request is not such a query.
	Directory(ctx *fasthttp.RequestCtx) (q DirectoryQuery, ok bool)
	// Addresses writes the answer to such a query; the caller may cache it for ttl.
	Addresses(ctx *fasthttp.RequestCtx, addresses []string, ttl time.Duration)
	// Readiness reports whether a request is a readiness check.
	Readiness(ctx *fasthttp.RequestCtx) bool
	// Configuration parses the value of the configuration's key in the store.
	Configuration(value []byte) (route.Configuration, error)
	// ConfigurationKey returns the configuration's key in the store.
	ConfigurationKey() string
	// Entry parses the entry of an endpoint in the store.
	Entry(key string, value []byte) (Entry, error)
	// EntryName returns the name of the endpoint whose entry has the given key.
	EntryName(key string) string
	// EntryPrefix returns the key prefix of all entries in the store.
	EntryPrefix() string
	// EvacuationPrefix returns the key prefix of the evacuations in the store.
	EvacuationPrefix() string
	// EvacuatedDataCentre returns the data centre that an evacuation's key names, or an empty string if it is malformed.
	EvacuatedDataCentre(key string) string
}

// DirectoryQuery is a caller's query for the addresses to use.
type DirectoryQuery struct {
	Host       string
	Region     string
	DataCentre string
}

// Entry is what an endpoint publishes about itself in the store.
type Entry struct {
	Name       string // Unique per incarnation, unless StartedAt distinguishes incarnations.
	Service    string
	Address    string
	DataCentre string
	Version    string // Version of its software; empty if unknown.
	Slots      int
	Leaving    bool          // The endpoint is shutting down and must get no new requests.
	ColdFor    time.Duration // Time for which it stays cold from now on; zero if it is not.
	StartedAt  int64         // Start time of the endpoint in Unix milliseconds; zero if unknown.
}
