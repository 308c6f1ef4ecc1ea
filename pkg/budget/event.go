package budget

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// Event is something that a Holder reacts to.
type Event interface{ isEvent() }

// Reserve asks for the worst case of a request to be set aside.
type Reserve struct {
	Request   string
	Budget    string
	Tokens    int64
	Deadline  time.Time
	Forwarded bool // The request came from another router and is not forwarded again.
	Passing   bool // This router is no home of the budget: it draws what the request needs and returns the rest soon.
}

// Homed tells whether this router is a home of a budget, which holds grants ready; an unknown budget is left alone.
type Homed struct {
	Budget string
	Home   bool
}

// Settle reports the tokens that a reserved request used; zero frees the whole reservation.
type Settle struct {
	Request string
	Tokens  int64
}

// Withdraw ends a request that waits for tokens; one that was dispatched settles instead.
type Withdraw struct{ Request string }

// Refund gives back what a request cost that was billed twice; it is sent once for each such request, to one holder.
type Refund struct {
	Budget string
	Tokens int64
}

// Prepaid gives the total that was paid for a budget so far; a lower total than one heard before changes nothing.
type Prepaid struct {
	Budget string
	Tokens int64
	Draw   bool // A first grant is drawn before there is demand.
}

// Loaded carries a record that was read from the store; version 0 means that there is none.
type Loaded struct {
	Budget  string
	Version uint64
	Record  Record
}

// LoadFailed reports that the store did not answer a read.
type LoadFailed struct{ Budget string }

// Committed reports the outcome of the last write of a budget's record.
type Committed struct {
	Budget  string
	Outcome Outcome
	Version uint64  // The new version when the outcome is TookEffect.
	Current *Loaded // The record that stood in the way when the outcome is NoEffect; nil when the store did not tell.
}

// PeersChanged replaces the incarnations of the other routers that can be reached.
type PeersChanged struct {
	Peers     []string
	Witnesses []string // The peers that are preferred as witnesses; empty takes all.
}

// RaiseDone reports a witness's answer to a Raise, or that there was none.
type RaiseDone struct {
	Raise

	Acknowledged bool
}

// RaiseWanted is a peer's wish that this router, as its witness, acknowledge a higher ceiling.
type RaiseWanted struct {
	Budget  string
	Holder  string
	Seals   uint64
	Ceiling int64
	Spent   int64
	ID      string
}

// ForwardRefused reports that a peer refused a forwarded request or was not reached, so that it did not run there.
type ForwardRefused struct {
	Request string
	Peer    string
}

// ForwardTaken reports that a peer ran a forwarded request or may have run it.
type ForwardTaken struct{ Request string }

// RecallWanted is a peer's wish that this router return what it does not use.
type RecallWanted struct {
	Budget string
	ID     string
}

// RecallDone reports that a peer returned its unused tokens or could not be reached.
type RecallDone struct {
	Budget string
	Peer   string
}

// Tick lets time pass.
type Tick struct{}

// Drain asks the holder to return everything and to close its accounts.
type Drain struct{}

// Leave tells the holder that it stops now: what it could not close is left to peers.
type Leave struct{}

// LeftBehind is the last state of an account whose holder has stopped for good.
type LeftBehind struct {
	Budget string
	Holder string
	Final  Account
}

// Outcome tells what a conditional write did.
type Outcome uint8

// The zero value of Outcome is OutcomeUnknown.
const (
	OutcomeUnknown Outcome = iota
	TookEffect
	NoEffect
)

var outcomeNames = [...]string{"OutcomeUnknown", "TookEffect", "NoEffect"}

// String returns the name of the outcome as logs spell it.
func (o Outcome) String() string { return outcomeNames[min(o, NoEffect)] }

func (Reserve) isEvent()        {}
func (Homed) isEvent()          {}
func (Settle) isEvent()         {}
func (Withdraw) isEvent()       {}
func (Refund) isEvent()         {}
func (Prepaid) isEvent()        {}
func (Loaded) isEvent()         {}
func (LoadFailed) isEvent()     {}
func (Committed) isEvent()      {}
func (PeersChanged) isEvent()   {}
func (RaiseDone) isEvent()      {}
func (RaiseWanted) isEvent()    {}
func (ForwardRefused) isEvent() {}
func (ForwardTaken) isEvent()   {}
func (RecallWanted) isEvent()   {}
func (RecallDone) isEvent()     {}
func (Tick) isEvent()           {}
func (Drain) isEvent()          {}
func (Leave) isEvent()          {}
func (LeftBehind) isEvent()     {}

// Action is something that a Holder wants done.
type Action interface{ isAction() }

// Dispatch lets a request go: its worst case is reserved.
type Dispatch struct{ Request string }

// Refuse ends a request that was not run.
type Refuse struct {
	Request string
	Kind    refusal.Kind
}

// Forward sends a request to a router that is believed to hold the tokens.
type Forward struct {
	Request string
	Peer    string
}

// Load reads a budget's record.
type Load struct{ Budget string }

// Commit writes a budget's record if its version is still Version.
type Commit struct {
	Budget  string
	Version uint64
	Record  Record
}

// Recall asks a peer to return what it does not use.
type Recall struct {
	Budget string
	Peer   string
}

// AnswerRecall tells the peer that sent RecallWanted that the return is done.
type AnswerRecall struct{ ID string }

// Raise asks a holder's witness to acknowledge a higher ceiling.
type Raise struct {
	Budget  string
	Witness string
	Seals   uint64
	Ceiling int64
	Spent   int64 // As settled by the holder so far.
}

// AnswerRaise tells the peer that sent RaiseWanted whether the ceiling is acknowledged.
type AnswerRaise struct {
	ID           string
	Acknowledged bool
}

// Entrust asks peers to close an account whose holder stops now.
type Entrust struct {
	Peers []string
	LeftBehind
}

// Bill is the one bill of a finished request.
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
func (Bill) isAction()         {}
