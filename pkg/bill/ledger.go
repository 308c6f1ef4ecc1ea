package bill

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Defaults of a Ledger.
const (
	DefaultRetention = 10 * time.Minute
	DefaultMaxKeys   = 20_000
)

// Answer is a complete answer that can be replayed.
type Answer struct {
	Content      string
	Finish       string // Finish reason.
	PromptTokens int64
	OutputTokens int64
}

// Event is an input of a Ledger.
type Event interface{ isEvent() }

// Received reports the arrival of a keyed request.
type Received struct {
	Request  string // Unique across all routers.
	Key      string // Account and Idempotency-Key.
	BodyHash uint64
}

// Finished reports the complete answer of a started request.
type Finished struct {
	Request string
	Answer  Answer
}

// Failed reports that a started request ended without an answer.
type Failed struct {
	Request string
	Kind    refusal.Kind
}

// Billed reports the bill of a keyed request, at this router or another.
type Billed struct {
	Key     string
	Request string
	Budget  string
	Tokens  int64
}

func (Received) isEvent() {}
func (Finished) isEvent() {}
func (Failed) isEvent()   {}
func (Billed) isEvent()   {}

// Action is an output of a Ledger, to be carried out by its caller.
type Action interface{ isAction() }

// Start signals that a request is to be run.
type Start struct{ Request string }

// Replay ends a request with the answer of an earlier one with the same key.
type Replay struct {
	Request string
	Answer  Answer
}

// Refuse ends a request with a refusal.
type Refuse struct {
	Request string
	Kind    refusal.Kind
}

// Refund requests the refund of a bill whose key was already billed.
type Refund struct {
	Budget string
	Tokens int64
}

func (Start) isAction()  {}
func (Replay) isAction() {}
func (Refuse) isAction() {}
func (Refund) isAction() {}

// Ledger tracks the keyed requests of one router, their answers and bills.
//
// The zero value is ready to use. A Ledger is not safe for concurrent use.
type Ledger struct {
	Retention time.Duration // Time for which answers and bills are stored; zero means DefaultRetention.
	MaxKeys   int           // Maximum number of stored answers, and of stored bills; zero means DefaultMaxKeys.

	running map[string]*run                      // By key.
	keyOf   map[string]string                    // Key by running request.
	answers *simplelru.LRU[string, storedAnswer] // By key.
	bills   *simplelru.LRU[string, firstBill]    // By key.
}

// run is a started request without a result so far.
type run struct {
	request  string
	bodyHash uint64
	waiters  []string // Requests with the same key that wait for the result.
}

// storedAnswer is the answer of a key that retries get until it expires.
type storedAnswer struct {
	bodyHash  uint64
	answer    Answer
	expiresAt time.Time
}

// firstBill is the bill that is kept for a key, with the later ones that were refunded.
type firstBill struct {
	request   string
	refunded  map[string]bool // By request.
	expiresAt time.Time
}

// Handle applies one event at time now and returns the actions to carry out.
func (l *Ledger) Handle(now time.Time, ev Event) []Action {
	l.init()
	switch ev := ev.(type) {
	case Received:
		return l.handleReceived(now, ev)
	case Finished:
		return l.handleFinished(now, ev)
	case Failed:
		return l.handleFailed(ev)
	case Billed:
		return l.handleBilled(now, ev)
	default:
		return nil
	}
}

func (l *Ledger) init() {
	if l.running != nil {
		return
	}
	if l.Retention <= 0 {
		l.Retention = DefaultRetention
	}
	if l.MaxKeys <= 0 {
		l.MaxKeys = DefaultMaxKeys
	}
	l.running = map[string]*run{}
	l.keyOf = map[string]string{}
	l.answers, _ = simplelru.NewLRU[string, storedAnswer](l.MaxKeys, nil)
	l.bills, _ = simplelru.NewLRU[string, firstBill](l.MaxKeys, nil)
}

func (l *Ledger) handleReceived(now time.Time, ev Received) []Action {
	if r, ok := l.running[ev.Key]; ok {
		if r.bodyHash != ev.BodyHash {
			return []Action{Refuse{ev.Request, refusal.KeyReused}}
		}
		r.waiters = append(r.waiters, ev.Request)
		return nil
	}
	if stored, ok := l.answers.Get(ev.Key); ok && now.Before(stored.expiresAt) {
		if stored.bodyHash != ev.BodyHash {
			return []Action{Refuse{ev.Request, refusal.KeyReused}}
		}
		return []Action{Replay{ev.Request, stored.answer}}
	}
	l.running[ev.Key] = &run{request: ev.Request, bodyHash: ev.BodyHash}
	l.keyOf[ev.Request] = ev.Key
	return []Action{Start{ev.Request}}
}

// removeRun removes the run of a started request and returns its key and the run; the run is nil if there is none.
func (l *Ledger) removeRun(request string) (string, *run) {
	key, ok := l.keyOf[request]
	if !ok {
		return "", nil
	}
	r := l.running[key]
	delete(l.keyOf, request)
	delete(l.running, key)
	return key, r
}

func (l *Ledger) handleFinished(now time.Time, ev Finished) []Action {
	key, r := l.removeRun(ev.Request)
	if r == nil {
		return nil
	}
	l.answers.Add(key, storedAnswer{bodyHash: r.bodyHash, answer: ev.Answer, expiresAt: now.Add(l.Retention)})
	actions := make([]Action, 0, len(r.waiters))
	for _, request := range r.waiters {
		actions = append(actions, Replay{request, ev.Answer})
	}
	return actions
}

// handleFailed refuses the waiting requests with the same kind: none of them ran on its own.
func (l *Ledger) handleFailed(ev Failed) []Action {
	_, r := l.removeRun(ev.Request)
	if r == nil {
		return nil
	}
	actions := make([]Action, 0, len(r.waiters))
	for _, request := range r.waiters {
		actions = append(actions, Refuse{request, ev.Kind})
	}
	return actions
}

// handleBilled keeps the first bill of a key and refunds each other one once.
func (l *Ledger) handleBilled(now time.Time, ev Billed) []Action {
	first, ok := l.bills.Get(ev.Key)
	if !ok || now.After(first.expiresAt) {
		l.bills.Add(ev.Key, firstBill{request: ev.Request, expiresAt: now.Add(l.Retention)})
		return nil
	}
	if first.request == ev.Request || first.refunded[ev.Request] {
		return nil
	}
	if first.refunded == nil {
		first.refunded = map[string]bool{}
	}
	first.refunded[ev.Request] = true
	l.bills.Add(ev.Key, first)
	return []Action{Refund{ev.Budget, ev.Tokens}}
}
