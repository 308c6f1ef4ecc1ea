package endpoint

import (
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// job is a Pool's state for one request.
type job struct {
	Request

	arrived      time.Time
	prefixHashes []uint64 // Hash of the prompt up to each part; see prefixHashesOf.
	prefill      int64    // Estimated prompt tokens that target computes for the attempt in flight.
	attempts     int      // Attempts sent, including rejected ones.
	runs         int      // Attempts that may have run.
	suspect      bool     // Whether the request was a suspect at its last send.
	mayHaveRun   bool     // Whether any attempt may have run.
	retryDecided bool     // Whether a retry is decided on that is not sent yet.
	arrivals     arrivals
	sent         *sentAttempt // The last attempt; nil if there was none.
	target       *backend     // Endpoint of the attempt in flight; nil if there is none.
	placeLimited bool         // Whether place took a request out of the endpoint's limit.
	place        *backend     // Endpoint at which a place is reserved for the next attempt; nil if there is none. See MoveRequested.
	sentAt       time.Time
	sentVersion  string    // Software version of target when the attempt was sent.
	firstTokenAt time.Time // Time of the first token of the last attempt; zero before it.
	begun        bool      // Whether any attempt has brought a token.
}

// deadline returns the latest time for the next token.
func (j *job) deadline() time.Time {
	if j.begun && !j.AnswerBy.IsZero() {
		return j.AnswerBy
	}
	return j.Deadline
}

// refuse returns the refusal of the job. If the job may have run, it replaces a kind
// that promises the caller that the request did not run.
func (j *job) refuse(kind refusal.Kind, after time.Duration) Refuse {
	if j.mayHaveRun && kind.Answer().Ran == refusal.NotRun {
		return Refuse{j.ID, refusal.AnswerBroken, 0}
	}
	return Refuse{j.ID, kind, after}
}

// attemptsExhausted reports whether a job has used up its attempts after so many that may have run. Sends that are
// known not to have run do not count, but the total number of sends is limited as well.
func (j *job) attemptsExhausted(p Policy, runs int) bool {
	const extraSends = 2
	limit := p.MaxAttempts
	if j.MaxAttempts > 0 {
		limit = j.MaxAttempts
	}
	return runs >= limit || j.attempts >= limit+extraSends
}

func (j *job) weight() float64 {
	if j.Weight <= 0 {
		return 1
	}
	return j.Weight
}

// work returns the work of the job in output-token equivalents.
// A prompt token counts as a fraction of an output token.
func (j *job) work() float64 {
	const promptTokenWeight = 0.05
	return float64(j.OutputTokens) + promptTokenWeight*float64(j.PromptTokens) + 1
}

// queue orders waiting jobs by class, then by weighted fair queueing among accounts, then by arrival.
type queue struct {
	waiting []*job
	served  map[string]float64 // Work sent for each account, divided by the account's weight.
	floor   float64            // Virtual time of the fair queueing: the highest value of served at which a job was sent.
}

// add appends a job. The served work of an account without waiting jobs is first
// raised to the floor, so that the account gains no credit while idle.
func (q *queue) add(j *job) {
	if q.served == nil {
		q.served = map[string]float64{}
	}
	if !q.hasWaiting(j.Account) {
		q.served[j.Account] = max(q.served[j.Account], q.floor)
	}
	q.waiting = append(q.waiting, j)
}

func (q *queue) hasWaiting(account string) bool {
	return slices.ContainsFunc(q.waiting, func(j *job) bool { return j.Account == account })
}

// charge adds the work of a sent job to its account.
func (q *queue) charge(j *job) {
	if q.served == nil {
		q.served = map[string]float64{}
	}
	q.floor = max(q.floor, q.served[j.Account])
	q.served[j.Account] += j.work() / j.weight()
}

// before reports whether a is served before b.
func (q *queue) before(a, b *job) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	sa, sb := q.served[a.Account], q.served[b.Account]
	if sa != sb {
		return sa < sb
	}
	return a.arrived.Before(b.arrived)
}

func (q *queue) remove(j *job) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *job) bool { return other == j })
}

// next returns the first waiting job in the serving order for which fits returns true, or nil.
func (q *queue) next(fits func(*job) bool) *job {
	var best *job
	for _, j := range q.waiting {
		if (best == nil || q.before(j, best)) && fits(j) {
			best = j
		}
	}
	return best
}

// sorted returns the waiting jobs in the serving order.
func (q *queue) sorted() []*job {
	jobs := slices.Clone(q.waiting)
	slices.SortStableFunc(jobs, func(a, b *job) int {
		switch {
		case q.before(a, b):
			return -1
		case q.before(b, a):
			return 1
		default:
			return 0
		}
	})
	return jobs
}

// ahead returns what waits ahead of j for the same model or service.
func (q *queue) ahead(j *job) backlog {
	var sum backlog
	for _, other := range q.waiting {
		if other != j && other.Service == j.Service && !q.before(j, other) {
			sum.add(other)
		}
	}
	return sum
}
