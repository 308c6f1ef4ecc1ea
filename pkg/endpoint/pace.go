package endpoint

import (
	"math"
	"time"
)

// Parameters of the pace.
const (
	firstRoutersDivisor = 2 // At first one router for each firstRoutersDivisor slots of the endpoint may send.

	// paceStep is the time in which as many routers join as may send at first. Doubling them in each step would let more routers
	// join in the last one than a typical endpoint has room for.
	paceStep = 500 * time.Millisecond

	paceDoubling = 2 * time.Second // Time in which the routers that may send double at least, if they are many for the slots.
	paceQuiet    = 2 * time.Second // Time without a slow answer or a rejection after which pacing ends, once all routers may send.

	// minPaceWindow is the smallest window. Below 1, a router pauses between two requests, since with more routers than slots one
	// request of each may be too many.
	minPaceWindow = 1.0 / 8

	slowFactor     = 3.0                    // An answer is slow if it takes longer than this many times as long as at the other endpoints.
	slowMargin     = 100 * time.Millisecond // Differences up to this are no sign of overload.
	slowReport     = 1.5                    // Reported slowdown from which on each answer counts as slow.
	minPaceAnswers = 3                      // Answers that must have been measured at another endpoint before it is compared with.
)

// PaceChanged tells that an endpoint is paced from now on, or no longer.
type PaceChanged struct {
	Endpoint string
	Paced    bool
	Window   float64       // Requests without an answer that this router may have there.
	Rank     int           // Routers that join before this one.
	For      time.Duration // Time since it began.

	Reductions int // Times that the window was halved or reset since pacing began.
}

func (PaceChanged) isAction() {}

// pace finds out how many requests a router may send an endpoint that has just started or recovered.
//
// The window bounds this router's requests there that have no answer yet. It grows by one with each window of good answers, and
// halves with a slow answer or a rejection. Routers with the lowest ranks begin, and the others join one after the other, so that the
// endpoint does not get a request of each router at once.
type pace struct {
	active     bool
	reported   bool // Whether the last PaceChanged said that it is paced.
	joined     bool // Whether this router may send whatever its rank, since it did before.
	window     float64
	beganAt    time.Time     // May be in the future.
	reducedAt  time.Time     // Last slow answer or rejection; zero if there was none.
	reductions int           // Times that the window was halved or reset.
	answerTime time.Duration // Time that the last answer took.
	idleAt     time.Time     // When the last request got its answer or ended.
}

// answerTimes is what a router has measured at one endpoint.
type answerTimes struct {
	firstTokens    int     // First tokens that were measured.
	firstTokenTime float64 // Smoothed seconds until a first token beyond those for the prompt.
	wholeAnswers   int     // Answers that were measured as a whole, into tokenTime.
}

// paceable reports whether the endpoint is paced after it has started or recovered.
func (b *backend) paceable() bool { return b.Paced || b.ColdRate > 0 }

// beginPace paces an endpoint from a time on.
func (b *backend) beginPace(at time.Time) {
	if b.paceable() {
		b.pace = pace{active: true, reported: b.pace.reported, window: 1, beganAt: at, reductions: b.pace.reductions}
	}
}

// configurePace paces an endpoint that was added after the first ones.
func (p *Pool) configurePace(now time.Time, b *backend) {
	if p.started {
		b.beginPace(laterOf(now, b.cold.until))
	}
}

// firstRouters returns the number of routers that may send to the endpoint as soon as it is paced.
func (b *backend) firstRouters() float64 {
	return float64(max(1, (b.Slots+firstRoutersDivisor-1)/firstRoutersDivisor))
}

// pacedRouters returns the number of routers that may send to a paced endpoint.
func (b *backend) pacedRouters(now time.Time) int {
	elapsed := max(0, now.Sub(b.pace.beganAt).Seconds())
	grown := max(1+elapsed/paceStep.Seconds(), math.Exp2(elapsed/paceDoubling.Seconds()))
	return int(min(b.firstRouters()*grown, math.MaxInt32))
}

// joinsAfter returns the time until this router may send to a paced endpoint, or zero if it may.
func (p *Pool) joinsAfter(now time.Time, b *backend) time.Duration {
	rank, _ := p.registeredRank(b)
	if !p.isPaced(now, b) || b.pace.joined || rank < b.pacedRouters(now) {
		return 0
	}
	grown := float64(rank+1) / b.firstRouters() // The inverse of the growth in pacedRouters.
	elapsed := min((grown-1)*paceStep.Seconds(), math.Log2(grown)*paceDoubling.Seconds())
	return max(time.Millisecond, b.pace.beganAt.Add(seconds(elapsed)).Sub(now))
}

// paceLimit returns the limit that corresponds to an endpoint to which this router may send only after a time, to estimate waits.
func paceLimit(now time.Time, wait time.Duration) limit {
	const perSecond = 10 // Estimate until answers are measured: one request at a time, answered within 0.1 s.
	return limit{rate: perSecond, share: perSecond, tokens: 1 - wait.Seconds()*perSecond, refilledAt: now}
}

// isPaced reports whether the endpoint is still paced.
func (p *Pool) isPaced(now time.Time, b *backend) bool {
	s := &b.pace
	if !s.active {
		return false
	}
	_, routers := p.registeredRank(b)
	quiet := now.Sub(laterOf(s.beganAt, s.reducedAt)) >= paceQuiet
	return s.window < float64(b.Slots) && (!quiet || b.pacedRouters(now) < routers)
}

// withinPace reports whether a paced endpoint may get one more request of this router. While it is cold, only the bound for cold
// endpoints counts.
func (p *Pool) withinPace(now time.Time, b *backend) bool {
	if !b.pace.active || b.isCold(now) {
		return true
	}
	if !p.isPaced(now, b) {
		b.pace.active = false
		return true
	}
	if p.joinsAfter(now, b) > 0 {
		return false
	}
	waiting := b.unanswered()
	if b.pace.window >= 1 {
		return waiting+1 <= int(b.pace.window)
	}
	pause := time.Duration((1/b.pace.window - 1) * float64(b.pace.answerTime))
	return waiting == 0 && now.Sub(b.pace.idleAt) >= pause
}

// unanswered returns the number of this router's requests at the endpoint that have no answer yet. A first token counts as one, so
// that an endpoint with long streams is not left idle until one of them has ended.
func (b *backend) unanswered() int {
	n := 0
	for _, j := range b.running {
		if j.target != b || j.firstTokenAt.IsZero() { // With another target, the job has reserved a place here.
			n++
		}
	}
	return n
}

// observeFirstToken measures the time to the first token of a job, and adjusts the window by it.
func (p *Pool) observeFirstToken(now time.Time, b *backend, j *job) {
	took := now.Sub(j.sentAt)
	prompt := float64(j.prefill) * b.promptTime
	if b.pace.active {
		expected, ok := p.othersMean(b, func(other *backend) (float64, bool) {
			return other.firstTokenTime + float64(j.prefill)*other.promptTime, other.firstTokens >= minPaceAnswers
		})
		b.adjustPace(now, j, took, expected, ok)
	}
	withoutPrompt := max(0, took.Seconds()-prompt)
	if b.firstTokens == 0 {
		b.firstTokenTime = withoutPrompt
	}
	b.firstTokens++
	b.firstTokenTime += speedSmoothing * (withoutPrompt - b.firstTokenTime)
}

// observeWholeAnswer adjusts the window by an answer without a first token. Its time is measured into tokenTime.
func (p *Pool) observeWholeAnswer(now time.Time, b *backend, j *job, tokens int64) {
	if b.pace.active {
		expected, ok := p.othersMean(b, func(other *backend) (float64, bool) {
			return other.tokenTime * float64(max(1, tokens)), other.wholeAnswers >= minPaceAnswers
		})
		b.adjustPace(now, j, now.Sub(j.sentAt), expected, ok)
	}
	b.wholeAnswers++
}

// othersMean returns the mean of a measured value over the other endpoints of the same models or services, and whether there is one.
func (p *Pool) othersMean(b *backend, measured func(*backend) (float64, bool)) (mean float64, ok bool) {
	n, sum := 0, 0.0
	for _, other := range p.ordered {
		if other == b || !b.servesAnyOf(other) {
			continue
		}
		if value, ok := measured(other); ok {
			n++
			sum += value
		}
	}
	if n == 0 {
		return 0, false
	}
	return sum / float64(n), true
}

// adjustPace widens the window after a good answer and halves it after a slow one.
func (b *backend) adjustPace(now time.Time, j *job, took time.Duration, expected float64, known bool) {
	b.pace.answerTime = took
	b.pace.idleAt = now
	slow := known && took.Seconds() > slowFactor*expected && took > seconds(expected)+slowMargin
	if slow || b.report.Slowdown >= slowReport && now.Sub(b.reportAt) < maxSlowdownAge {
		b.halveWindow(now, j.sentAt)
		return
	}
	b.pace.window = min(float64(b.Slots), b.pace.window+1/max(1, b.pace.window))
}

// halveWindow halves the window after a slow answer or a rejection, unless the request was sent before the last reduction: the
// requests of one window that are slow together count once.
func (b *backend) halveWindow(now, sentAt time.Time) {
	if sentAt.Before(b.pace.reducedAt) {
		return
	}
	b.pace.window = max(minPaceWindow, b.pace.window/2)
	b.pace.reducedAt = now
	b.pace.reductions++
}

// rejectPace records that an endpoint did not accept a request. One that was not paced is paced from then on, and the router, which
// sent to it before, need not wait for its turn to join.
func (p *Pool) rejectPace(now time.Time, b *backend, sentAt time.Time) {
	if !b.paceable() {
		return
	}
	if !p.isPaced(now, b) {
		b.beginPace(now.Add(p.Policy.BaseEjectionTime))
		b.pace.joined = true
		b.pace.window = max(1, float64(len(b.running))/2)
	} else {
		b.halveWindow(now, sentAt)
	}
	b.pace.idleAt = now
	b.pace.answerTime = max(b.pace.answerTime, slowMargin) // So that the router pauses even if no answer was measured before.
}

// reportPaceChanges returns a PaceChanged for each endpoint that is paced, or no longer paced, since the last call.
func (p *Pool) reportPaceChanges(now time.Time) []Action {
	var actions []Action
	for _, b := range p.ordered {
		paced := p.isPaced(now, b) && !now.Before(b.pace.beganAt)
		if paced == b.pace.reported {
			continue
		}
		b.pace.reported = paced
		rank, _ := p.registeredRank(b)
		actions = append(actions, PaceChanged{Endpoint: b.Name, Paced: paced, Window: b.pace.window, Rank: rank, Reductions: b.pace.reductions,
			For: max(0, now.Sub(b.pace.beganAt))})
		if !paced {
			b.pace.reductions = 0
		}
	}
	return actions
}
