package fleet

import (
	"strconv"
	"time"
)

// State is what is known of a VM; a later state is worse.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Draining
	Suspected
	Dead
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"Alive", "Draining", "Suspected", "Dead"}[min(s, Dead)]
}

// Member is one incarnation of a router on a VM.
type Member struct {
	VM          string
	Incarnation uint64  // Start time in Unix nanoseconds; the later one of a VM replaces the earlier one.
	State       State   `json:",omitempty"`
	Refutations uint64  `json:",omitempty"` // Raised by the incarnation itself when it is held for worse than it is.
	Beat        uint64  // Raised by the incarnation itself in each period; dates Load and Revision.
	Load        float64 `json:",omitempty"` // Part of its capacity that is in use, 0 to 1.
	Revision    uint64  `json:",omitempty"` // Settings in force there.

	// The settings give these to every router, so that messages do not carry them.
	Address    string  `json:"-"`
	DataCentre string  `json:"-"`
	Size       float64 `json:"-"` // Relative capacity.
}

// Name returns the name of the incarnation, which no other router ever has.
func (m Member) Name() string {
	return m.VM + "." + strconv.FormatUint(m.Incarnation, 36)
}

// newer reports whether a tells more recent news than b about the same VM.
func newer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Refutations != b.Refutations {
		return a.Refutations > b.Refutations
	}
	if a.State != b.State {
		return a.State > b.State
	}
	return a.Beat > b.Beat
}

// Event is something that a Roster reacts to.
type Event interface{ isEvent() }

// Configured gives the VMs that the settings name.
type Configured struct{ VMs []Seed }

// Seed is a VM as the settings give it.
type Seed struct {
	VM         string
	Address    string
	DataCentre string
	Size       float64
}

// Heard carries updates from a peer, with a probe or in an answer to one.
type Heard struct{ Updates []Member }

// ProbeFailed reports that a VM did not answer a probe.
type ProbeFailed struct{ VM string }

// PlatformListed gives the VMs that the platform's list shows as leaving.
type PlatformListed struct{ Leaving []string }

// SelfChanged gives this router's own load, settings revision and whether it drains.
type SelfChanged struct {
	Load     float64
	Revision uint64
	Draining bool
}

// Tick lets a probe period pass.
type Tick struct{}

func (Configured) isEvent()     {}
func (Heard) isEvent()          {}
func (ProbeFailed) isEvent()    {}
func (PlatformListed) isEvent() {}
func (SelfChanged) isEvent()    {}
func (Tick) isEvent()           {}

// Action is something that a Roster wants done.
type Action interface{ isAction() }

// Probe sends updates to a VM, which answers with its own.
type Probe struct {
	VM      string
	Address string
	Updates []Member
}

// MembersChanged reports that a VM joined, changed its state or was lost.
type MembersChanged struct{}

func (Probe) isAction()          {}
func (MembersChanged) isAction() {}

// Defaults of a Roster.
const (
	ProbePeriod     = time.Second
	ProbesEach      = 2 // Probes in a period.
	UpdatesEach     = 9 // Updates in a message, the sender's own included.
	SuspectPeriod   = 3 * time.Second
	ReprobeDead     = 5 * time.Second
	tellFactor      = 3 // Times that an update is told, for each doubling of the fleet.
	entryListLength = 4
)
