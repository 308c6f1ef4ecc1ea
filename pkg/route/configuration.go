package route

import "time"

// Kind tells what may be repeated of a request.
type Kind uint8

// The zero value of Kind is NonIdempotent, which permits the least.
const (
	NonIdempotent Kind = iota
	Idempotent
	Stream
)

var kindNames = [...]string{"NonIdempotent", "Idempotent", "Stream"}

// String returns the name of the kind as logs spell it.
func (k Kind) String() string { return kindNames[min(k, Stream)] }

// Configuration is one version of what operators configured.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Keyed    bool // Requests need the key of an account unless their route is Anonymous.
	Limits   Limits
}

// Route says where the requests of one host and path prefix go, and how.
type Route struct {
	Name      string
	Host      string
	Prefix    string // Begins and ends with a slash.
	Kind      Kind
	Targets   []Target
	Timeout   time.Duration // Longest time until the answer is complete.
	Objective time.Duration // Time until the answer, or its first event, is on time.
	Gap       time.Duration // Longest pause between events that is on time.
	Rank      int           // Urgency; 0 comes first.
	Attempts  int           // Endpoints on which a request may run.
	Resumable bool          // A stream may go on at another endpoint.
	Anonymous bool          // No key is needed.
	Model     bool          // Requests describe a prompt.
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of endpoints that run the same requests.
type Service struct {
	Name           string
	HealthPath     string
	Connections    int   // Connections that one endpoint accepts from all callers together; zero is unlimited.
	TokensPerEvent int64 // Output tokens that an event of a stream may hold; zero for plain services.
	Model          bool  // The endpoints are model engines.
}

// Account is a client account.
type Account struct {
	Name    string
	Keys    []string
	Rank    *int  // Goes before the route's rank when set.
	Prepaid int64 // Tokens; counts when Limited.
	Limited bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
