package order

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// RetryInterval is the delay before an outcome is written again after a store call failed.
const RetryInterval = time.Second

// Coordinator decides which orders one router sends.
//
// The zero value is ready to use. A Coordinator is not safe for concurrent use.
// Its caller must answer each ReadClaim and WriteClaim with exactly one event.
type Coordinator struct {
	entries map[string]*entry // By claim key.
	keys    map[string]string // Claim key by request ID.
}

// phase is the progress of an entry.
type phase uint8

const (
	claiming  phase = iota // The claim is being written; the order has not been sent.
	sent                   // The order was sent; it is never sent again.
	recording              // The outcome is decided and is being written to the claim.
)

// entry is the state of a claim key for which this router has an order in progress.
type entry struct {
	Placed

	phase    phase
	version  uint64    // Version of the claim as last read or written.
	desired  Claim     // Claim that the store is to hold.
	inFlight bool      // A store call is in flight.
	inDoubt  bool      // A write conditional on version had an unknown outcome and may still take effect.
	retryAt  time.Time // Zero until a store call fails.
	replied  bool
}

// Handle applies one event at time now and returns the actions to carry out.
func (c *Coordinator) Handle(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Placed:
		return c.handlePlaced(ev)
	case ClaimRead:
		return c.handleClaimRead(now, ev)
	case ClaimReadFailed:
		return c.handleClaimReadFailed(now, ev)
	case ClaimWritten:
		return c.handleClaimWritten(now, ev)
	case Answered:
		return c.handleAnswered(ev)
	case Failed:
		return c.handleFailed(ev)
	case Tick:
		return c.handleTick(now)
	default:
		return nil
	}
}

// Pending returns the number of orders whose outcome is not yet recorded.
func (c *Coordinator) Pending() int { return len(c.entries) }

func (c *Coordinator) handlePlaced(ev Placed) []Action {
	if c.entries == nil {
		c.entries = map[string]*entry{}
		c.keys = map[string]string{}
	}
	if e, ok := c.entries[ev.Key]; ok {
		return []Action{replyToDuplicate(e, ev)}
	}
	e := &entry{Placed: ev, desired: Claim{Attempt: ev.Attempt, BodyHash: ev.BodyHash}}
	c.entries[ev.Key] = e
	c.keys[ev.Request] = ev.Key
	return c.writeClaim(e)
}

// replyToDuplicate answers a request whose key has an order in progress at this router.
func replyToDuplicate(e *entry, ev Placed) Action {
	switch {
	case e.BodyHash != ev.BodyHash:
		return Refuse{ev.Request, refusal.KeyReused}
	case e.phase != recording:
		return Refuse{ev.Request, refusal.OrderRunning}
	case e.desired.State == Done:
		return Reply{ev.Request, e.desired.Answer, true}
	case e.desired.State == NotRun:
		return Refuse{ev.Request, refusal.StoreUnavailable}
	default:
		return Refuse{ev.Request, refusal.OrderUnknown}
	}
}

func (c *Coordinator) writeClaim(e *entry) []Action {
	e.inFlight = true
	return []Action{WriteClaim{e.Key, e.version, e.desired}}
}

func (c *Coordinator) readClaim(e *entry) []Action {
	e.inFlight = true
	return []Action{ReadClaim{e.Key}}
}

func (c *Coordinator) handleClaimWritten(now time.Time, ev ClaimWritten) []Action {
	e, ok := c.entries[ev.Key]
	if !ok || !e.inFlight {
		return nil
	}
	e.inFlight = false
	switch ev.Outcome {
	case budget.TookEffect:
		e.version = ev.Version
		e.inDoubt = false
		return c.claimStored(now, e)
	case budget.OutcomeUnknown:
		e.inDoubt = true
	}
	return c.readClaim(e)
}

// claimStored continues after the desired claim is proved to be in the store.
func (c *Coordinator) claimStored(now time.Time, e *entry) []Action {
	if e.phase == recording {
		return c.remove(e)
	}
	if now.After(e.Deadline) {
		return c.abandon(e, refusal.DeadlineUnreachable)
	}
	e.phase = sent
	return []Action{Send{e.Request, e.Attempt}}
}

func (c *Coordinator) handleClaimRead(now time.Time, ev ClaimRead) []Action {
	e, ok := c.entries[ev.Key]
	if !ok || !e.inFlight {
		return nil
	}
	e.inFlight = false
	if ev.Version < e.version {
		return c.storeFailed(now, e)
	}
	if e.phase == recording {
		return c.readRecording(now, e, ev)
	}
	return c.readClaiming(now, e, ev)
}

// readClaiming determines from a read whether a claim write without a reported success took effect.
func (c *Coordinator) readClaiming(now time.Time, e *entry, ev ClaimRead) []Action {
	switch {
	case ev.Version != 0 && ev.Claim.Attempt == e.Attempt:
		e.version = ev.Version
		e.inDoubt = false
		return c.claimStored(now, e)
	case ev.Version == e.version && e.inDoubt:
		return c.storeFailed(now, e)
	case ev.Version == e.version:
		return append(c.remove(e), Refuse{e.Request, refusal.StoreUnavailable})
	}
	e.version = ev.Version
	e.inDoubt = false
	return c.resolveConflict(e, ev.Claim)
}

// resolveConflict ends a request whose key holds the claim of another attempt, or replaces that claim if its order did not run.
func (c *Coordinator) resolveConflict(e *entry, claim Claim) []Action {
	switch {
	case claim.BodyHash != e.BodyHash:
		return append(c.remove(e), Refuse{e.Request, refusal.KeyReused})
	case claim.State == Done:
		return append(c.remove(e), Reply{e.Request, claim.Answer, true})
	case claim.State == NotRun:
		return c.writeClaim(e)
	case claim.State == Unknown:
		return append(c.remove(e), Refuse{e.Request, refusal.OrderUnknown})
	default:
		return append(c.remove(e), Refuse{e.Request, refusal.OrderRunning})
	}
}

// readRecording checks whether the outcome is in the store and writes it again if it is not.
func (c *Coordinator) readRecording(now time.Time, e *entry, ev ClaimRead) []Action {
	owned := ev.Claim.Attempt == e.Attempt
	switch {
	case ev.Version != 0 && owned && ev.Claim.State == e.desired.State:
		return c.remove(e)
	case ev.Version != 0 && !owned:
		return c.remove(e)
	case ev.Version == e.version && e.inDoubt:
		e.retryAt = now.Add(RetryInterval)
		return nil
	}
	e.version = ev.Version
	return c.writeClaim(e)
}

func (c *Coordinator) handleClaimReadFailed(now time.Time, ev ClaimReadFailed) []Action {
	e, ok := c.entries[ev.Key]
	if !ok || !e.inFlight {
		return nil
	}
	e.inFlight = false
	return c.storeFailed(now, e)
}

// storeFailed abandons an order whose claim is not proved to be in the store; in the recording phase, the outcome is written again later.
func (c *Coordinator) storeFailed(now time.Time, e *entry) []Action {
	e.retryAt = now.Add(RetryInterval)
	if e.phase == recording {
		return nil
	}
	return c.abandon(e, refusal.StoreUnavailable)
}

// abandon refuses an order that was not sent and records NotRun in its claim, whose write may still take effect.
func (c *Coordinator) abandon(e *entry, kind refusal.Kind) []Action {
	e.phase = recording
	e.desired.State = NotRun
	actions := c.refuse(e, kind)
	if e.retryAt.IsZero() {
		return append(actions, c.writeClaim(e)...)
	}
	return actions
}

func (c *Coordinator) refuse(e *entry, kind refusal.Kind) []Action {
	if e.replied {
		return nil
	}
	e.replied = true
	return []Action{Refuse{e.Request, kind}}
}

func (c *Coordinator) handleAnswered(ev Answered) []Action {
	e, ok := c.entries[c.keys[ev.Request]]
	if !ok || e.phase != sent {
		return nil
	}
	e.phase = recording
	e.replied = true
	e.desired.State = Done
	e.desired.Answer = ev.Answer
	return append([]Action{Reply{e.Request, ev.Answer, false}}, c.writeClaim(e)...)
}

func (c *Coordinator) handleFailed(ev Failed) []Action {
	e, ok := c.entries[c.keys[ev.Request]]
	if !ok || e.phase != sent {
		return nil
	}
	e.phase = recording
	kind := refusal.OrderUnknown
	e.desired.State = Unknown
	if !ev.Sent {
		kind = ev.Kind
		e.desired.State = NotRun
	}
	return append(c.refuse(e, kind), c.writeClaim(e)...)
}

func (c *Coordinator) handleTick(now time.Time) []Action {
	var actions []Action
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		e := c.entries[key]
		if e.phase == recording && !e.inFlight && !now.Before(e.retryAt) {
			actions = append(actions, c.writeClaim(e)...)
		}
	}
	return actions
}

func (c *Coordinator) remove(e *entry) []Action {
	delete(c.entries, e.Key)
	delete(c.keys, e.Request)
	return nil
}
