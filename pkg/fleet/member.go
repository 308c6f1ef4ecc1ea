package fleet

import (
	"strconv"
	"strings"
	"time"
)

// State is the known state of a VM; a higher value is worse.
type State uint8

// The states of a member. Messages carry their numbers, so their order must not change.
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
	Incarnation uint64  // Start time in Unix nanoseconds; a later incarnation of a VM replaces an earlier one.
	State       State   `json:",omitempty"`
	Refutations uint64  `json:",omitempty"` // Increased by the incarnation itself when an update reports a worse state than its own.
	Heartbeat   uint64  `json:"Beat"`       // Increased by the incarnation itself in each period; an update with a higher one has the newer Load, Revision, NoPath and Closed.
	Load        float64 `json:",omitempty"` // Fraction of the capacity in use, 0 to 1.
	Revision    uint64  `json:",omitempty"` // Revision of the settings in force at the router.
	NoPath      bool    `json:",omitempty"` // The router reaches no endpoint.
	Closed      bool    `json:",omitempty"` // The router accepts no connections of callers.

	// Every router takes these fields from its configuration, so messages do not carry them.
	Address    string  `json:"-"`
	DataCentre string  `json:"-"`
	Size       float64 `json:"-"` // Relative capacity.
}

// Name returns the name of the incarnation, which no other incarnation of any router has.
func (m Member) Name() string {
	return m.VM + "." + strconv.FormatUint(m.Incarnation, 36)
}

// VMOf returns the VM of the incarnation with the given name.
func VMOf(name string) string {
	if i := strings.LastIndexByte(name, '.'); i >= 0 {
		return name[:i]
	}
	return name
}

// supersedes reports whether update a takes precedence over update b about the same VM.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Refutations != b.Refutations {
		return a.Refutations > b.Refutations
	}
	if a.State != b.State {
		return a.State > b.State
	}
	return a.Heartbeat > b.Heartbeat
}

// Event is an input of a Roster.
type Event interface{ isEvent() }

// Configured sets the VMs of the fleet.
type Configured struct{ VMs []ConfiguredVM }

// ConfiguredVM is the configuration of a VM.
type ConfiguredVM struct {
	VM         string
	Address    string
	DataCentre string
	Size       float64 // Relative capacity.
}

// UpdatesReceived carries updates that came with a probe, in the answer to one or from another source.
type UpdatesReceived struct{ Updates []Member }

// ProbeFailed reports that a VM did not answer a probe.
type ProbeFailed struct{ VM string }

// VMListReceived sets the VMs that are leaving according to the platform's list.
type VMListReceived struct{ Leaving []string }

// SelfChanged sets this router's own load and settings revision, whether it is draining, whether it reaches no endpoint, and
// whether it accepts no connections of callers.
type SelfChanged struct {
	Load     float64 // Fraction of the capacity in use.
	Revision uint64
	Draining bool
	NoPath   bool // A change is announced to several VMs at once.
	Closed   bool // Likewise.
}

// Tick starts a probe period.
type Tick struct{}

func (Configured) isEvent()      {}
func (UpdatesReceived) isEvent() {}
func (ProbeFailed) isEvent()     {}
func (VMListReceived) isEvent()  {}
func (SelfChanged) isEvent()     {}
func (Tick) isEvent()            {}

// Action is an output of a Roster, to be carried out by its caller.
type Action interface{ isAction() }

// Probe requests that updates be sent to a VM, which answers with its own.
type Probe struct {
	VM      string
	Address string
	Updates []Member
}

// MembersChanged reports that the set of members, a state or an incarnation may have changed.
type MembersChanged struct{}

func (Probe) isAction()          {}
func (MembersChanged) isAction() {}

// Parameters of the membership protocol.
const (
	ProbePeriod       = time.Second
	ProbesPerPeriod   = 2               // VMs that a router probes in each period.
	AnnounceFanout    = 5               // VMs that a router tells at once that NoPath or Closed has changed.
	UpdatesPerMessage = 9               // Maximum number of updates in a message, the sender's own included.
	SuspicionTimeout  = 3 * time.Second // Time in which a suspected VM can refute the suspicion.
	DeadProbeInterval = 5 * time.Second // Shortest time between probes of a dead VM.
	notableLoadChange = 0.5             // Change of a load that is passed on like a change of state.
	retransmitFactor  = 3               // Transmissions of an update for each doubling of the fleet.
	maxEntries        = 4               // Maximum number of entries in an EntryList.
)
