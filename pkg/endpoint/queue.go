package endpoint

import (
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// job is a request that a Pool knows.
type job struct {
	Request

	arrived  time.Time
	chain    []uint64 // Hashes of the prompt's beginnings, one for each part.
	prefill  int64    // Prompt tokens that the endpoint of the attempt in flight is believed to compute.
	attempts int      // Sends.
	runs     int      // Attempts that may have run.
	suspect  bool
	ran      bool     // An attempt may have run.
	on       *backend // Where an attempt is in flight.
	sentAt   time.Time
	firstAt  time.Time
}

// refuse returns the truthful refusal: a request that may have run is never told that it did not.
func (j *job) refuse(kind refusal.Kind, after time.Duration) Refuse {
	if j.ran && kind.Answer().Ran == refusal.NotRun {
		return Refuse{j.ID, refusal.AnswerBroken, 0}
	}
	return Refuse{j.ID, kind, after}
}

// tried reports whether the job has used up its attempts; sends that are known not to have run have a limit of their own.
func (j *job) tried(p Policy) bool {
	const extraSends = 2
	most := p.MaxAttempts
	if j.Attempts > 0 {
		most = j.Attempts
	}
	return j.runs >= most || j.attempts >= most+extraSends
}

func (j *job) weight() float64 {
	if j.Weight <= 0 {
		return 1
	}
	return j.Weight
}

// cost is the work of the job in output-token equivalents; a prompt token counts as a small part of one.
func (j *job) cost() float64 {
	const promptPart = 0.05
	return float64(j.OutputTokens) + promptPart*float64(j.PromptTokens) + 1
}

// queue orders waiting jobs by class, then by the account that has had the least for its weight, then by arrival.
type queue struct {
	waiting []*job
	served  map[string]float64 // Work started by account, divided by its weight.
	floor   float64            // Work that a newly active account starts from.
}

// add puts a job in; an account without waiting work starts level with the least served one.
func (q *queue) add(j *job) {
	if q.served == nil {
		q.served = map[string]float64{}
	}
	if !q.active(j.Account) {
		q.served[j.Account] = max(q.served[j.Account], q.floor)
	}
	q.waiting = append(q.waiting, j)
}

func (q *queue) active(account string) bool {
	return slices.ContainsFunc(q.waiting, func(j *job) bool { return j.Account == account })
}

// charge books the work of a job that is sent.
func (q *queue) charge(j *job) {
	if q.served == nil {
		q.served = map[string]float64{}
	}
	q.floor = max(q.floor, q.served[j.Account])
	q.served[j.Account] += j.cost() / j.weight()
}

// before reports whether a is to be served before b.
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

// next returns the waiting job that is to be served first among those that fit.
func (q *queue) next(fits func(*job) bool) *job {
	var best *job
	for _, j := range q.waiting {
		if (best == nil || q.before(j, best)) && fits(j) {
			best = j
		}
	}
	return best
}

// sorted returns the waiting jobs in the order in which they are to be served.
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

// ahead returns the work in output-token equivalents that waits before j for the same model or service.
func (q *queue) ahead(j *job) float64 {
	var sum float64
	for _, other := range q.waiting {
		if other != j && other.Serves == j.Serves && !q.before(j, other) {
			sum += other.cost()
		}
	}
	return sum
}
