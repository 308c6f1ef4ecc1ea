package peer

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/feed"
	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// Paths of the messages between routers.
const (
	ProbePath   = "/Peer/Probe"
	RecallPath  = "/Peer/Recall"
	RaisePath   = "/Peer/Raise"
	EntrustPath = "/Peer/Entrust"
	ReservePath = "/Peer/Reserve"
	SettlePath  = "/Peer/Settle"
	SuspectPath = "/Peer/Suspect"
	OriginsPath = "/Peer/Origins"
	OriginPath  = "/Peer/Origin"
	FeedPath    = "/Peer/Feed" // Answered by the daemons that follow feeds of the store.
)

// KeyHeader is the header that carries the shared key of the fleet's routers, if they have one.
const KeyHeader = "X-Peer-Key"

// recallMessage asks a router to return its unused tokens of a budget.
type recallMessage struct{ Budget string }

// raiseMessage asks a witness to acknowledge a higher ceiling of a holder.
type raiseMessage struct {
	Holder string
	Raise  budget.Raise
}

// suspectMessage announces a suspicion. It carries the remaining time instead of the end time, because the clocks of VMs differ.
type suspectMessage struct {
	Fingerprint      uint64
	Part             bool `json:",omitempty"`
	Deaths           int
	Endpoint         string `json:",omitempty"`
	KeepMilliseconds int64  // Time until the suspicion ends.
}

// suspectReply answers suspicions with those of the requests and of the parts that have finished at the answering router.
type suspectReply struct {
	KnownSafe      []uint64 `json:"Sound"`
	KnownSafeParts []uint64 `json:"SoundParts,omitempty"`
}

// probeMessage is a probe or the answer to one. It spreads the suspicions of what is refused to routers that
// missed their announcement, for example because they started later, the limits that endpoints name, which endpoints are
// brittle, and which data centres are evacuated.
type probeMessage struct {
	Updates  []fleet.Member
	Suspects []suspectMessage `json:",omitempty"`
	Known    suspectReply     // Which of the suspects in the probe are known safe; only in an answer.
	Limits   []limitMessage   `json:",omitempty"`
	Brittle  []brittleMessage `json:",omitempty"`

	Evacuations *evacuationMessage `json:",omitempty"` // Absent where evacuations are off, and in probes of peers that may not know the field.
}

// limitMessage tells the limit that an endpoint named in an answer, or that it named none.
type limitMessage struct {
	Endpoint          string
	RequestsPerSecond float64 // Zero if the endpoint named no limit.
	AgeMilliseconds   int64   // Time since the answer.
}

// brittleMessage tells that an endpoint said in an answer that it is brittle, or that it is not.
type brittleMessage struct {
	Endpoint        string
	Tolerated       int   // Rejections that the endpoint bears within a second; zero if it is not brittle.
	AgeMilliseconds int64 // Time since the answer.

	RejectedMilliseconds int64 // Time since the latest rejection that is known of; negative if there is none.
	LoadMilliseconds     int64 // Time since the endpoint had this load; negative if none is known.
	Running              int
	Waiting              int
}

// originQuery asks where a stream began that a caller takes up.
type originQuery struct {
	Stream  string
	Service string
}

// originReply answers an originQuery.
type originReply struct {
	Origin          origin.Origin // Set if Known.
	Known           bool
	SeveralVersions bool     // Endpoints of several versions serve the service, or did lately.
	Versions        []string `json:",omitempty"` // Versions of the service that the router knows of.
	AgeMilliseconds int64    `json:",omitempty"` // Of its copy of the record of versions.
}

// reply answers recall, raise, entrust and settle messages.
type reply struct{ Granted bool }

// FeedQuery asks a router for the changes of a feed after a revision of the store.
type FeedQuery struct {
	Feed  string
	After uint64

	MaxWaitMilliseconds int64 `json:",omitempty"` // Longest wait for changes, if it is below feed.PollWait; routers of earlier builds reject it.
}

// MaxWait returns the longest wait for changes.
func (q FeedQuery) MaxWait() time.Duration {
	if q.MaxWaitMilliseconds <= 0 {
		return feed.PollWait
	}
	return min(feed.PollWait, time.Duration(q.MaxWaitMilliseconds)*time.Millisecond)
}

// FeedReply answers a FeedQuery.
type FeedReply struct {
	Usable                bool // The router has recent data; otherwise the other fields are not set.
	Update                feed.Update
	AgeMilliseconds       int64 // Time since the store is known to have had no further changes.
	RecoveredMilliseconds int64 // Time since the end of the last outage of the store that the router noticed; zero if there was none.
}
