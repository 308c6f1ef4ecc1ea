package order

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// RetryEvery is the pause between attempts to record an outcome while the store fails.
const RetryEvery = time.Second

// Keeper decides for one router which orders are sent.
//
// The zero value works. A Keeper is not safe for concurrent use. The caller of
// Handle answers each ReadClaim and WriteClaim with exactly one event.
type Keeper struct {
	entries map[string]*entry // By claim key.
	keys    map[string]string // Claim key by request.
}

// phase is the progress of an entry.
type phase uint8

const (
	claiming phase = iota // The claim is being written; the order was not sent.
	sent                  // The order was sent once; no further send follows.
	marking               // The outcome is known and is being written.
)

// entry is the state of one claim key that this router works on.
type entry struct {
	Placed

	phase   phase
	version uint64 // Of the claim as last read or written.
	wanted  Claim  // What is being written.
	calling bool   // A store call is in flight.
	unsure  bool   // A write of unknown outcome was based on version.
	retryAt time.Time
	replied bool
}

// Handle applies one event at time now and returns what is to be done.
func (k *Keeper) Handle(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Placed:
		return k.placed(ev)
	case Read:
		return k.read(now, ev)
	case ReadFailed:
		return k.readFailed(now, ev)
	case Written:
		return k.written(now, ev)
	case Answered:
		return k.answered(ev)
	case Failed:
		return k.failed(ev)
	case Tick:
		return k.tick(now)
	default:
		return nil
	}
}

// Pending returns the number of orders whose outcome is not yet recorded.
func (k *Keeper) Pending() int { return len(k.entries) }

func (k *Keeper) placed(ev Placed) []Action {
	if k.entries == nil {
		k.entries = map[string]*entry{}
		k.keys = map[string]string{}
	}
	if e, ok := k.entries[ev.Key]; ok {
		return []Action{again(e, ev)}
	}
	e := &entry{Placed: ev, wanted: Claim{Attempt: ev.Attempt, BodyHash: ev.BodyHash}}
	k.entries[ev.Key] = e
	k.keys[ev.Request] = ev.Key
	return k.write(e)
}

// again answers a request whose key this router already works on.
func again(e *entry, ev Placed) Action {
	switch {
	case e.BodyHash != ev.BodyHash:
		return Refuse{ev.Request, refusal.KeyReused}
	case e.phase != marking:
		return Refuse{ev.Request, refusal.OrderRunning}
	case e.wanted.State == Done:
		return Reply{ev.Request, e.wanted.Answer, true}
	case e.wanted.State == NotRun:
		return Refuse{ev.Request, refusal.StoreUnavailable}
	default:
		return Refuse{ev.Request, refusal.OrderUnknown}
	}
}

func (k *Keeper) write(e *entry) []Action {
	e.calling = true
	return []Action{WriteClaim{e.Key, e.version, e.wanted}}
}

func (k *Keeper) readAgain(e *entry) []Action {
	e.calling = true
	return []Action{ReadClaim{e.Key}}
}

func (k *Keeper) written(now time.Time, ev Written) []Action {
	e, ok := k.entries[ev.Key]
	if !ok || !e.calling {
		return nil
	}
	e.calling = false
	switch ev.Outcome {
	case budget.TookEffect:
		e.version = ev.Version
		e.unsure = false
		return k.landed(now, e)
	case budget.OutcomeUnknown:
		e.unsure = true
	}
	return k.readAgain(e)
}

// landed continues after the wanted claim is proved to stand in the store.
func (k *Keeper) landed(now time.Time, e *entry) []Action {
	if e.phase == marking {
		return k.forget(e)
	}
	if now.After(e.Deadline) {
		return k.giveUp(e, refusal.DeadlineUnreachable)
	}
	e.phase = sent
	return []Action{Send{e.Request, e.Attempt}}
}

func (k *Keeper) read(now time.Time, ev Read) []Action {
	e, ok := k.entries[ev.Key]
	if !ok || !e.calling {
		return nil
	}
	e.calling = false
	if ev.Version < e.version {
		return k.storeFailed(now, e)
	}
	if e.phase == marking {
		return k.readMarking(now, e, ev)
	}
	return k.readClaiming(now, e, ev)
}

// readClaiming decides what a claim write that did not report success means.
func (k *Keeper) readClaiming(now time.Time, e *entry, ev Read) []Action {
	switch {
	case ev.Version != 0 && ev.Claim.Attempt == e.Attempt:
		e.version = ev.Version
		e.unsure = false
		return k.landed(now, e)
	case ev.Version == e.version && e.unsure:
		return k.storeFailed(now, e)
	case ev.Version == e.version:
		return append(k.forget(e), Refuse{e.Request, refusal.StoreUnavailable})
	}
	e.version = ev.Version
	e.unsure = false
	return k.foreign(e, ev.Claim)
}

// foreign ends or continues a request whose key carries another attempt's claim.
func (k *Keeper) foreign(e *entry, c Claim) []Action {
	switch {
	case c.BodyHash != e.BodyHash:
		return append(k.forget(e), Refuse{e.Request, refusal.KeyReused})
	case c.State == Done:
		return append(k.forget(e), Reply{e.Request, c.Answer, true})
	case c.State == NotRun:
		return k.write(e)
	case c.State == Unknown:
		return append(k.forget(e), Refuse{e.Request, refusal.OrderUnknown})
	default:
		return append(k.forget(e), Refuse{e.Request, refusal.OrderRunning})
	}
}

// readMarking checks whether the outcome stands in the store and writes it again when it does not.
func (k *Keeper) readMarking(now time.Time, e *entry, ev Read) []Action {
	mine := ev.Claim.Attempt == e.Attempt
	switch {
	case ev.Version != 0 && mine && ev.Claim.State == e.wanted.State:
		return k.forget(e)
	case ev.Version != 0 && !mine:
		return k.forget(e)
	case ev.Version == e.version && e.unsure:
		e.retryAt = now.Add(RetryEvery)
		return nil
	}
	e.version = ev.Version
	return k.write(e)
}

func (k *Keeper) readFailed(now time.Time, ev ReadFailed) []Action {
	e, ok := k.entries[ev.Key]
	if !ok || !e.calling {
		return nil
	}
	e.calling = false
	return k.storeFailed(now, e)
}

// storeFailed gives a claim up that could not be proved; an outcome is written again later.
func (k *Keeper) storeFailed(now time.Time, e *entry) []Action {
	e.retryAt = now.Add(RetryEvery)
	if e.phase == marking {
		return nil
	}
	return k.giveUp(e, refusal.StoreUnavailable)
}

// giveUp refuses an order that was not sent and marks its claim, which may still land, as NotRun.
func (k *Keeper) giveUp(e *entry, kind refusal.Kind) []Action {
	e.phase = marking
	e.wanted.State = NotRun
	actions := k.refuse(e, kind)
	if e.retryAt.IsZero() {
		return append(actions, k.write(e)...)
	}
	return actions
}

func (k *Keeper) refuse(e *entry, kind refusal.Kind) []Action {
	if e.replied {
		return nil
	}
	e.replied = true
	return []Action{Refuse{e.Request, kind}}
}

func (k *Keeper) answered(ev Answered) []Action {
	e, ok := k.entries[k.keys[ev.Request]]
	if !ok || e.phase != sent {
		return nil
	}
	e.phase = marking
	e.replied = true
	e.wanted.State = Done
	e.wanted.Answer = ev.Answer
	return append([]Action{Reply{e.Request, ev.Answer, false}}, k.write(e)...)
}

func (k *Keeper) failed(ev Failed) []Action {
	e, ok := k.entries[k.keys[ev.Request]]
	if !ok || e.phase != sent {
		return nil
	}
	e.phase = marking
	kind := refusal.OrderUnknown
	e.wanted.State = Unknown
	if !ev.Sent {
		kind = ev.Kind
		e.wanted.State = NotRun
	}
	return append(k.refuse(e, kind), k.write(e)...)
}

func (k *Keeper) tick(now time.Time) []Action {
	var actions []Action
	for _, key := range slices.Sorted(maps.Keys(k.entries)) {
		e := k.entries[key]
		if e.phase == marking && !e.calling && !now.Before(e.retryAt) {
			actions = append(actions, k.write(e)...)
		}
	}
	return actions
}

func (k *Keeper) forget(e *entry) []Action {
	delete(k.entries, e.Key)
	delete(k.keys, e.Request)
	return nil
}
