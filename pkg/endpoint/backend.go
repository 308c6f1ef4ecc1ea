package endpoint

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of the state kept for an endpoint, and parameters of its estimates.
const (
	maxCachedPrefixes            = 4096
	speedSmoothing               = 0.2    // Weight of a new measurement in the moving averages of the speeds.
	failureSmoothing             = 0.1    // Weight of a new outcome in the moving average of the failures.
	defaultTokensPerSecond       = 50.0   // Output tokens per second of one stream.
	defaultPromptTokensPerSecond = 2000.0 // Prompt tokens per second.
	minMeasuredPromptTokens      = 256    // With fewer prompt tokens, the time to the first token says little about the prompt speed.
)

// backend is the state that a Pool keeps for one endpoint.
type backend struct {
	Endpoint

	hash uint64 // Hash of the name, for rendezvous hashing.

	running map[string]*job // This router's attempts in flight, by request ID.

	report   Load      // Last load report.
	reportAt time.Time // Estimated time at which the endpoint made the report.
	changes  []change  // This router's recent starts and ends of attempts, oldest first.

	tokenTime  float64 // Measured seconds per output token.
	promptTime float64 // Measured seconds per prompt token.

	leavingBySettings bool      // Leaving according to the settings or the VM list.
	leavingByReport   bool      // Leaving according to the last load report.
	leavingByAnswer   bool      // Leaving according to an answer.
	restsUntil        time.Time // End of the time for which the endpoint wants no request from this router, if any.
	limit             limit     // What the endpoint says it takes from all routers together.
	brittle           brittle   // What is known if the endpoint falls over when it turns requests away.
	cold              cold      // What is known if the endpoint tolerates few requests after it has started.
	rank              registeredRank
	pace              pace      // How fast it may be loaded after it has started or recovered.
	addedAt           time.Time // When the endpoint was added, as new or after a restart; zero if it is one of the first.

	answerTimes
	health
	saved *savedHealth // Health before the failures since the last finished request; nil if there are none.
}

// health is the part of the state of an endpoint that failed attempts change.
type health struct {
	ejectedUntil time.Time // End of the ejection, if any.
	downAt       time.Time // When its address last refused connections; zero if it never did.
	deaths       int       // Deaths since the last finished request.
	silentUntil  time.Time // End of the time for which it is avoided for silence, if any.
	silences     int       // Times that it was found silent since it last said something.
	failures     float64   // Smoothed fraction of attempts that failed.

	// prefixes holds the hashes of prompt prefixes that the endpoint has probably cached.
	prefixes *simplelru.LRU[uint64, struct{}]
}

func newBackend(e Endpoint) *backend {
	b := &backend{hash: xxhash.Sum64String(e.Name), running: map[string]*job{}, health: health{prefixes: newPrefixes()}}
	b.describe(e)
	b.tokenTime = 1 / b.TokensPerSecond
	b.promptTime = 1 / b.PromptTokensPerSecond
	return b
}

func newPrefixes() *simplelru.LRU[uint64, struct{}] {
	prefixes, _ := simplelru.NewLRU[uint64, struct{}](maxCachedPrefixes, nil)
	return prefixes
}

// describe sets the endpoint's description, with defaults for missing values.
func (b *backend) describe(e Endpoint) {
	b.Endpoint = e
	b.TokensPerSecond = cmp.Or(b.TokensPerSecond, defaultTokensPerSecond)
	b.PromptTokensPerSecond = cmp.Or(b.PromptTokensPerSecond, defaultPromptTokensPerSecond)
	b.Slots = cmp.Or(b.Slots, 1)
}

func (b *backend) leaving() bool {
	return b.leavingBySettings || b.leavingByReport || b.leavingByAnswer
}

func (b *backend) rests(now time.Time) bool { return now.Before(b.restsUntil) }

// usable reports whether the endpoint accepts a new request.
//
// After a death or a rest, the endpoint gets one request at a time until one finishes, unless it is paced; after a silence, until it speaks.
func (b *backend) usable(now time.Time, t tolerance) bool {
	switch {
	case b.leaving(), b.rests(now), now.Before(b.ejectedUntil) && !t.ejected, now.Before(b.silentUntil) && !t.silent:
		return false
	case b.deaths > 0 && !b.paceable(), b.silent() && !t.silent:
		return len(b.running) == 0
	}
	return true
}

// change is the start (+1) or the end (-1) of one of this router's attempts.
type change struct {
	at    time.Time
	delta int
}

// changeRetention is how long changes are kept to correct load reports.
// A report older than this is corrected only by the changes that are still kept.
const changeRetention = 10 * time.Second

func (b *backend) recordChange(now time.Time, delta int) {
	b.changes = append(b.changes, change{now, delta})
	old := 0
	for old < len(b.changes) && now.Sub(b.changes[old].at) > changeRetention {
		old++
	}
	b.changes = b.changes[old:]
}

// netChangeSince returns by how much this router's number of attempts in flight has changed since t.
func (b *backend) netChangeSince(t time.Time) int {
	net := 0
	for i := len(b.changes) - 1; i >= 0 && b.changes[i].at.After(t); i-- {
		net += b.changes[i].delta
	}
	return net
}

// maxMirroredPeers limits the number of other routers that are assumed to behave like this one.
// A larger fleet spreads its load over more endpoints.
const maxMirroredPeers = 5

// peerRequests estimates the number of requests from other routers on the endpoint.
//
// The last report is out of date. It is corrected by this router's changes since
// then, and each other router is assumed to have made the same changes. The
// weight of the report decays with its age; see Policy.ReportHalfLife.
func (b *backend) peerRequests(now time.Time, peers int, p Policy) float64 {
	peers = min(peers, maxMirroredPeers)
	if b.reportAt.IsZero() {
		return float64(len(b.running) * peers)
	}
	net := b.netChangeSince(b.reportAt)
	reported := float64(b.report.Running + b.report.Waiting - len(b.running) + net)
	age := now.Sub(b.reportAt).Seconds()
	reported *= math.Exp2(-max(0, age-p.ReportHalfLife.Seconds()) / p.ReportHalfLife.Seconds())
	return max(0, reported+float64(net*peers))
}

// occupied estimates the number of requests on the endpoint from all routers.
func (b *backend) occupied(now time.Time, peers int, p Policy) float64 {
	return float64(len(b.running)) + b.peerRequests(now, peers, p)
}

// hasSlot reports whether the endpoint has a free slot for one more request, given the tolerance.
func (b *backend) hasSlot(now time.Time, peers int, p Policy) bool {
	return b.occupied(now, peers, p)+1 <= float64(b.Slots)*(1+p.SlotTolerance)
}

// firstTokenSeconds estimates the seconds until the first token of j if it is sent now.
func (b *backend) firstTokenSeconds(now time.Time, j *job, home bool, peers int, p Policy) float64 {
	prompt := float64(b.prefill(j, home, p)+b.pendingPrefill()) * b.promptTime
	excess := b.occupied(now, peers, p) + 1 - float64(b.Slots)
	if excess <= 0 {
		return prompt * b.slowdownAt(now)
	}
	return (prompt + excess/float64(b.Slots)*b.serviceSeconds(&j.Request)) * b.slowdownAt(now)
}

// serviceSeconds estimates the seconds for which r occupies a slot.
func (b *backend) serviceSeconds(r *Request) float64 {
	return float64(r.PromptTokens)*b.promptTime + float64(r.OutputTokens)*b.tokenTime
}

func (b *backend) hasSuspect() bool {
	for _, j := range b.running {
		if j.suspect {
			return true
		}
	}
	return false
}

// recordOutcome updates the smoothed failure rate with the outcome of an attempt.
// Rejected and abandoned attempts do not count.
func (b *backend) recordOutcome(outcome Outcome) {
	switch outcome {
	case Finished:
		b.failures -= failureSmoothing * b.failures
	case Died, Silent, Incomplete:
		b.failures += failureSmoothing * (1 - b.failures)
	}
}

func (b *backend) serves(name string) bool { return slices.Contains(b.Serves, name) }

func (b *backend) measurePrompt(seconds float64, tokens int64) {
	if tokens > 0 {
		b.promptTime += speedSmoothing * (seconds/float64(tokens) - b.promptTime)
	}
}

func (b *backend) measureOutput(seconds float64, tokens int64) {
	if tokens > 0 {
		b.tokenTime += speedSmoothing * (seconds/float64(tokens) - b.tokenTime)
	}
}
