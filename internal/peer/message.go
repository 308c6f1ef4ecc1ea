package peer

import (
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// Paths between routers.
const (
	ProbePath   = "/Peer/Probe"
	RecallPath  = "/Peer/Recall"
	RaisePath   = "/Peer/Raise"
	EntrustPath = "/Peer/Entrust"
	ReservePath = "/Peer/Reserve"
	SettlePath  = "/Peer/Settle"
	SuspectPath = "/Peer/Suspect"
)

// KeyHeader carries the key that the routers of a fleet share, where they have one.
const KeyHeader = "X-Peer-Key"

// recallMessage asks a router to return its unused tokens of a budget.
type recallMessage struct{ Budget string }

// raiseMessage asks a witness to acknowledge a ceiling of a holder.
type raiseMessage struct {
	Holder string
	Raise  budget.Raise
}

// suspectMessage spreads a suspicion; its age replaces a time, since clocks differ.
type suspectMessage struct {
	Fingerprint      uint64
	Deaths           int
	KeepMilliseconds int64
}

// acquittal names suspects that finished at the router that answers.
type acquittal struct{ Sound []uint64 }

// verdict is a yes or a no.
type verdict struct{ Granted bool }
