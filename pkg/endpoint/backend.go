package endpoint

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of what is remembered and of how fast estimates follow measurements.
const (
	prefixesKept      = 4096
	speedSmoothing    = 0.2
	failureSmoothing  = 0.1
	defaultSpeed      = 50.0   // Tokens a second of one stream.
	defaultPromptRate = 2000.0 // Prompt tokens a second.
	leastMeasured     = 256    // Prompt tokens below which the time to the first token says little about the speed.
)

// backend is a Pool's state for one endpoint.
type backend struct {
	Endpoint

	hash uint64 // Of the name.

	running map[string]*job // This router's attempts in flight.

	report   Load
	reportAt time.Time // When the endpoint counted, as far as known.
	changes  []change  // This router's recent sends and ends, oldest first.

	tokenTime  float64 // Seconds for each output token, measured.
	promptTime float64 // Seconds for each prompt token, measured.

	leavingBySettings bool
	leavingByReport   bool
	downUntil         time.Time
	deaths            int     // Since the last finished request.
	failures          float64 // Smoothed part of the attempts that failed.

	prefixes *simplelru.LRU[uint64, struct{}]
}

func newBackend(e Endpoint) *backend {
	prefixes, _ := simplelru.NewLRU[uint64, struct{}](prefixesKept, nil)
	b := &backend{hash: xxhash.Sum64String(e.Name), running: map[string]*job{}, prefixes: prefixes}
	b.describe(e)
	b.tokenTime = 1 / b.TokensPerSecond
	b.promptTime = 1 / b.PromptPerSecond
	return b
}

func (b *backend) describe(e Endpoint) {
	b.Endpoint = e
	b.TokensPerSecond = cmp.Or(b.TokensPerSecond, defaultSpeed)
	b.PromptPerSecond = cmp.Or(b.PromptPerSecond, defaultPromptRate)
	b.Slots = cmp.Or(b.Slots, 1)
}

func (b *backend) leaving() bool { return b.leavingBySettings || b.leavingByReport }

// usable reports whether a new request may be sent.
//
// An endpoint that died gets one request at a time until one finishes.
func (b *backend) usable(now time.Time, ignorePause bool) bool {
	if b.leaving() || (now.Before(b.downUntil) && !ignorePause) {
		return false
	}
	return b.deaths == 0 || len(b.running) == 0
}

// change is a send (+1) or an end (-1) of one of this router's attempts.
type change struct {
	at    time.Time
	delta int
}

// changesKept is the age up to which changes are remembered; an older report is not corrected by them.
const changesKept = 10 * time.Second

func (b *backend) noteChange(now time.Time, delta int) {
	b.changes = append(b.changes, change{now, delta})
	old := 0
	for old < len(b.changes) && now.Sub(b.changes[old].at) > changesKept {
		old++
	}
	b.changes = b.changes[old:]
}

// netSince returns how many attempts this router has more in flight than at t.
func (b *backend) netSince(t time.Time) int {
	net := 0
	for i := len(b.changes) - 1; i >= 0 && b.changes[i].at.After(t); i-- {
		net += b.changes[i].delta
	}
	return net
}

// mostEchoes is the number of other routers that are taken to do what this one does; a larger fleet spreads over more endpoints.
const mostEchoes = 5

// others estimates the requests of other routers on the endpoint.
//
// The report lags. What this router did since it was made is known, and the
// other routers are taken to have done the same.
func (b *backend) others(now time.Time, peers int, p Policy) float64 {
	peers = min(peers, mostEchoes)
	if b.reportAt.IsZero() {
		return float64(len(b.running) * peers)
	}
	net := b.netSince(b.reportAt)
	seen := float64(b.report.Running + b.report.Waiting - len(b.running) + net)
	age := now.Sub(b.reportAt).Seconds()
	seen *= math.Exp2(-max(0, age-p.ReportTrust.Seconds()) / p.ReportTrust.Seconds())
	return max(0, seen+float64(net*peers))
}

func (b *backend) occupied(now time.Time, peers int, p Policy) float64 {
	return float64(len(b.running)) + b.others(now, peers, p)
}

func (b *backend) hasSlot(now time.Time, peers int, p Policy) bool {
	return b.occupied(now, peers, p)+1 <= float64(b.Slots)*(1+p.SlotTolerance)
}

// startTime estimates the seconds until the first token of r if it is sent now.
func (b *backend) startTime(now time.Time, j *job, home bool, peers int, p Policy) float64 {
	prompt := float64(b.prefill(j, home, p)+b.prefilling()) * b.promptTime
	over := b.occupied(now, peers, p) + 1 - float64(b.Slots)
	if over <= 0 {
		return prompt
	}
	return prompt + over/float64(b.Slots)*b.serviceTime(&j.Request)
}

// serviceTime estimates the seconds for which r occupies a slot.
func (b *backend) serviceTime(r *Request) float64 {
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

// noteOutcome folds an attempt that the endpoint finished or failed into the failure rate.
func (b *backend) noteOutcome(outcome Outcome) {
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
