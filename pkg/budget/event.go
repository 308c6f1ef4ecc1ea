package budget

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Event is an input of Holder.Handle.
type Event interface{ isEvent() }

// Reserve requests a reservation for the worst-case token usage of a request.
type Reserve struct {
	Request   string
	Budget    string
	Tokens    int64
	Deadline  time.Time
	Forwarded bool // Another router forwarded the request; it is not forwarded again.
	OnDemand  bool // This router is not a home of the budget: it draws only what the request needs and returns the remainder soon.
}

// HomeChanged sets whether this router is a home of a budget and so keeps grants in advance; an unknown budget is ignored.
type HomeChanged struct {
	Budget string
	Home   bool
}

// Settle reports the tokens that a reserved request used; zero releases the whole reservation.
type Settle struct {
	Request string
	Tokens  int64
}

// Cancel removes a request that waits for tokens; one that already has its reservation is settled with zero tokens.
type Cancel struct{ Request string }

// Refund credits the tokens of a duplicate bill; it is sent once for each such bill, to one holder.
type Refund struct {
	Budget string
	Tokens int64
}

// PrepaidTotal sets the total number of tokens paid for a budget so far; a total not above an earlier one is ignored.
type PrepaidTotal struct {
	Budget       string
	Tokens       int64
	InitialGrant bool // The holder draws a first grant before there is demand.
}

// Loaded delivers a record that was read from the store; version 0 means that the store has none.
type Loaded struct {
	Budget  string
	Version uint64
	Record  Record
	Stale   bool // The answer to a Load with Stale: the store may have a later version.
}

// LoadFailed reports that the store did not answer a read.
type LoadFailed struct{ Budget string }

// Committed reports the outcome of the last write of a budget's record.
type Committed struct {
	Budget  string
	Outcome Outcome
	Version uint64  // New version if the outcome is TookEffect.
	Current *Loaded // Conflicting record if the outcome is NoEffect; nil if the store did not return it.
}

// PeersChanged replaces the set of reachable incarnations of other routers.
type PeersChanged struct {
	Peers     []string
	Witnesses []string // Peers preferred as witnesses; if empty, every peer is eligible.
	Replaced  []string // Incarnations that have ended for good, since a later one runs in their place.
}

// RaiseDone reports a witness's reply to a Raise; Acknowledged is false if there was no reply.
type RaiseDone struct {
	Raise

	Acknowledged bool
}

// RaiseRequested is a peer's request that this router, as its witness, acknowledge a higher ceiling.
type RaiseRequested struct {
	Budget  string
	Holder  string
	Seals   uint64
	Ceiling int64
	Spent   int64
	ID      string
}

// ForwardRefused reports that a peer refused to reserve the tokens of a forwarded request or did not reply; the request then waits here again.
type ForwardRefused struct {
	Request string
	Peer    string
}

// ForwardAccepted reports that a peer reserved the tokens of a forwarded request or that no decision is needed any more; it ends the request at this holder.
type ForwardAccepted struct{ Request string }

// RecallRequested is a peer's request that this router return its unused tokens.
type RecallRequested struct {
	Budget string
	ID     string
}

// RecallDone reports that a peer returned its unused tokens or was unreachable.
type RecallDone struct {
	Budget string
	Peer   string
}

// Tick triggers the periodic work: deadlines, refills, returns, reports and seals.
type Tick struct{}

// Drain makes the holder refuse new requests, return its tokens and close its accounts.
type Drain struct{}

// Leave stops the holder immediately: peers are asked to close the accounts that it could not close.
type Leave struct{}

// OrphanedAccount is the final state of an account whose holder has stopped permanently.
type OrphanedAccount struct {
	Budget string
	Holder string
	Final  Account
}

// Outcome is the result of a conditional write.
type Outcome uint8

// The zero value of Outcome is OutcomeUnknown.
const (
	OutcomeUnknown Outcome = iota
	TookEffect
	NoEffect
)

var outcomeNames = [...]string{"OutcomeUnknown", "TookEffect", "NoEffect"}

// String returns the name of the outcome as it appears in logs.
func (o Outcome) String() string { return outcomeNames[min(o, NoEffect)] }

func (Reserve) isEvent()         {}
func (HomeChanged) isEvent()     {}
func (Settle) isEvent()          {}
func (Cancel) isEvent()          {}
func (Refund) isEvent()          {}
func (PrepaidTotal) isEvent()    {}
func (Loaded) isEvent()          {}
func (LoadFailed) isEvent()      {}
func (Committed) isEvent()       {}
func (PeersChanged) isEvent()    {}
func (RaiseDone) isEvent()       {}
func (RaiseRequested) isEvent()  {}
func (ForwardRefused) isEvent()  {}
func (ForwardAccepted) isEvent() {}
func (RecallRequested) isEvent() {}
func (RecallDone) isEvent()      {}
func (Tick) isEvent()            {}
func (Drain) isEvent()           {}
func (Leave) isEvent()           {}
func (OrphanedAccount) isEvent() {}

// Action is an output of Holder.Handle that the caller carries out.
type Action interface{ isAction() }

// Dispatch releases a request for execution; its worst case is reserved.
type Dispatch struct{ Request string }

// Refuse rejects a request that was not run.
type Refuse struct {
	Request string
	Kind    refusal.Kind
}

// Forward asks a peer that holds enough tokens according to the last record read to reserve those of a request.
//
// If the store is unavailable or slow, the record may be outdated, and any reachable peer may be chosen.
type Forward struct {
	Request string
	Peer    string
}

// Load requests a read of a budget's record.
type Load struct {
	Budget string
	Stale  bool // The read may return an earlier version, which is cheaper; it precedes a conditional write.
}

// Commit requests a write of a budget's record on condition that its version is still Version.
type Commit struct {
	Budget  string
	Version uint64
	Record  Record
}

// Recall asks a peer to return its unused tokens.
type Recall struct {
	Budget string
	Peer   string
}

// AnswerRecall replies to a RecallRequested, by its ID, that the unused tokens were returned.
type AnswerRecall struct{ ID string }

// Raise asks a holder's witness to acknowledge a higher ceiling.
type Raise struct {
	Budget  string
	Witness string
	Seals   uint64
	Ceiling int64
	Spent   int64 // Tokens that the holder has settled so far.
}

// AnswerRaise replies to a RaiseRequested, by its ID, whether the ceiling is acknowledged.
type AnswerRaise struct {
	ID           string
	Acknowledged bool
}

// Entrust asks peers to close the account of a holder that is stopping.
type Entrust struct {
	Peers []string
	OrphanedAccount
}

// Sealed reports that this router, as the witness, has returned the tokens of a lost holder's account that this cannot have spent.
type Sealed struct {
	Budget   string
	Holder   string
	Returned int64
	Kept     int64 // Tokens that stay with the holder, which may have spent them.
}

// Bill reports the tokens billed for a finished request; a holder bills each request once.
type Bill struct {
	Request string
	Budget  string
	Tokens  int64
}

func (Dispatch) isAction()     {}
func (Refuse) isAction()       {}
func (Forward) isAction()      {}
func (Load) isAction()         {}
func (Commit) isAction()       {}
func (Recall) isAction()       {}
func (AnswerRecall) isAction() {}
func (Raise) isAction()        {}
func (AnswerRaise) isAction()  {}
func (Entrust) isAction()      {}
func (Sealed) isAction()       {}
func (Bill) isAction()         {}
