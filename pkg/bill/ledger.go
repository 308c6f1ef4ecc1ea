package bill

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Defaults of a Ledger.
const (
	DefaultRetain = 10 * time.Minute
	DefaultKeep   = 20_000 // Keys.
)

// Answer is a whole answer that can be sent again.
type Answer struct {
	Content      string
	Finish       string
	PromptTokens int64
	OutputTokens int64
}

// Event is something that a Ledger reacts to.
type Event interface{ isEvent() }

// Began offers a keyed request.
type Began struct {
	Request  string // Never used before by any router.
	Key      string // Account and Idempotency-Key together.
	BodyHash uint64
}

// Finished reports the whole answer of a started request.
type Finished struct {
	Request string
	Answer  Answer
}

// Failed reports that a started request ended without an answer.
type Failed struct {
	Request string
	Kind    refusal.Kind
}

// Billed reports the bill of a keyed request, from this router or another.
type Billed struct {
	Key     string
	Request string
	Budget  string
	Tokens  int64
}

func (Began) isEvent()    {}
func (Finished) isEvent() {}
func (Failed) isEvent()   {}
func (Billed) isEvent()   {}

// Action is something that a Ledger wants done.
type Action interface{ isAction() }

// Start runs the request.
type Start struct{ Request string }

// Replay answers a request with the answer of an earlier one with the same key.
type Replay struct {
	Request string
	Answer  Answer
}

// Refuse ends a request.
type Refuse struct {
	Request string
	Kind    refusal.Kind
}

// Refund gives back a bill for a key that was billed before.
type Refund struct {
	Budget string
	Tokens int64
}

func (Start) isAction()  {}
func (Replay) isAction() {}
func (Refuse) isAction() {}
func (Refund) isAction() {}

// Ledger remembers keyed requests; its zero value works. It is not safe for concurrent use.
type Ledger struct {
	Retain time.Duration // Zero takes DefaultRetain.
	Keep   int           // Keys; zero takes DefaultKeep.

	running map[string]*run // By key.
	keys    map[string]string
	done    *simplelru.LRU[string, kept]
	bills   *simplelru.LRU[string, paid]
}

type run struct {
	request  string
	bodyHash uint64
	attached []string
}

type kept struct {
	bodyHash uint64
	answer   Answer
	until    time.Time
}

// paid is the bill that stands for a key, and the later ones that were refunded.
type paid struct {
	request  string
	refunded map[string]bool
	until    time.Time
}

// Handle applies one event at time now and returns what is to be done.
func (l *Ledger) Handle(now time.Time, ev Event) []Action {
	l.init()
	switch ev := ev.(type) {
	case Began:
		return l.began(now, ev)
	case Finished:
		return l.finished(now, ev)
	case Failed:
		return l.failed(ev)
	case Billed:
		return l.billed(now, ev)
	default:
		return nil
	}
}

func (l *Ledger) init() {
	if l.running != nil {
		return
	}
	if l.Retain <= 0 {
		l.Retain = DefaultRetain
	}
	if l.Keep <= 0 {
		l.Keep = DefaultKeep
	}
	l.running = map[string]*run{}
	l.keys = map[string]string{}
	l.done, _ = simplelru.NewLRU[string, kept](l.Keep, nil)
	l.bills, _ = simplelru.NewLRU[string, paid](l.Keep, nil)
}

func (l *Ledger) began(now time.Time, ev Began) []Action {
	if r, ok := l.running[ev.Key]; ok {
		if r.bodyHash != ev.BodyHash {
			return []Action{Refuse{ev.Request, refusal.KeyReused}}
		}
		r.attached = append(r.attached, ev.Request)
		return nil
	}
	if k, ok := l.done.Get(ev.Key); ok && now.Before(k.until) {
		if k.bodyHash != ev.BodyHash {
			return []Action{Refuse{ev.Request, refusal.KeyReused}}
		}
		return []Action{Replay{ev.Request, k.answer}}
	}
	l.running[ev.Key] = &run{request: ev.Request, bodyHash: ev.BodyHash}
	l.keys[ev.Request] = ev.Key
	return []Action{Start{ev.Request}}
}

// take removes the run of a started request.
func (l *Ledger) take(request string) (string, *run) {
	key, ok := l.keys[request]
	if !ok {
		return "", nil
	}
	r := l.running[key]
	delete(l.keys, request)
	delete(l.running, key)
	return key, r
}

func (l *Ledger) finished(now time.Time, ev Finished) []Action {
	key, r := l.take(ev.Request)
	if r == nil {
		return nil
	}
	l.done.Add(key, kept{bodyHash: r.bodyHash, answer: ev.Answer, until: now.Add(l.Retain)})
	actions := make([]Action, 0, len(r.attached))
	for _, request := range r.attached {
		actions = append(actions, Replay{request, ev.Answer})
	}
	return actions
}

// failed ends the attached requests in the same way: none of them ran on its own.
func (l *Ledger) failed(ev Failed) []Action {
	_, r := l.take(ev.Request)
	if r == nil {
		return nil
	}
	actions := make([]Action, 0, len(r.attached))
	for _, request := range r.attached {
		actions = append(actions, Refuse{request, ev.Kind})
	}
	return actions
}

// billed lets the first bill of a key stand and refunds each other one once.
func (l *Ledger) billed(now time.Time, ev Billed) []Action {
	first, ok := l.bills.Get(ev.Key)
	if !ok || now.After(first.until) {
		l.bills.Add(ev.Key, paid{request: ev.Request, until: now.Add(l.Retain)})
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
