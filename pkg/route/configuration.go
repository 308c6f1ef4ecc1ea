package route

import "time"

// Kind classifies the requests of a route by how they may be retried.
type Kind uint8

// The kinds of requests. The zero value, NonIdempotent, is the most restrictive one.
const (
	NonIdempotent Kind = iota
	Idempotent
	Stream
)

var kindNames = [...]string{"NonIdempotent", "Idempotent", "Stream"}

// String returns the name of the kind as it is written to logs.
func (k Kind) String() string { return kindNames[min(k, Stream)] }

// Configuration is one version of the operators' routing configuration.
type Configuration struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Accounts   []Account
	RequireKey bool // Whether requests need an account's key, except on routes that are Anonymous.
	Limits     Limits
}

// Route defines where the requests of one host and path prefix are sent, and under which rules.
type Route struct {
	Name        string
	Host        string
	Prefix      string // Path prefix, with a leading and a trailing slash.
	Kind        Kind
	Targets     []Target
	Timeout     time.Duration // Longest time until the answer is complete.
	Objective   time.Duration // Latency objective for the answer or, in a stream, for its first event.
	Gap         time.Duration // Objective for the longest pause between two events of a stream.
	Priority    int           // Scheduling priority; 0 is the most urgent.
	MaxAttempts int           // Maximum number of attempts of one request, not counting rejected ones.
	Resumable   bool          // Whether a stream that broke off may be continued by another endpoint.
	Anonymous   bool          // Whether requests need no key.
	HasPrompt   bool          // Whether requests describe the prompt of a model.
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Target is a service and its share of a route's requests.
type Target struct {
	Service string
	Weight  float64 // Relative to the other targets of the route; negative counts as 0.
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name           string
	HealthPath     string
	Connections    int   // Maximum number of connections that one endpoint accepts from all callers together; 0 means unlimited.
	TokensPerEvent int64 // Maximum number of output tokens in one event of a stream; 0 for plain services.
	ModelEngine    bool  // Whether the endpoints are model engines.

	ColdRate float64       // Requests per second that an endpoint tolerates from all routers together while it is cold; 0 if it never is.
	ColdFor  time.Duration // Time for which an endpoint is cold after it has started.
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int  // Overrides the route's priority if not nil.
	Prepaid  int64 // Prepaid budget in tokens; ignored unless Limited.
	Limited  bool  // Whether requests to models are limited to the prepaid budget.
}

// Limits bounds the requests and the connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
