package admission

import "time"

// Event is an input of Controller.Handle.
type Event interface{ isEvent() }

// Observed reports the current state of the router. It is to be sent several times in each OverloadTime.
type Observed struct {
	LinkExcess    float64 // Share of the requests that is refused because of the link, 0 to 1.
	ProcessorLate bool
	Configured    bool     // The router has a configuration.
	Draining      bool     // The router was asked to stop.
	Routers       []Router // Live routers of the data centre, this one included; not used unless the router is overloaded.
}

// Router is a live router of the data centre.
type Router struct {
	VM     string
	Size   float64 // Relative capacity.
	Closed bool    // Its listener is closed, as far as is known.
}

// ProbeReceived reports that another router of the data centre has probed this one, which shows that it can be reached.
type ProbeReceived struct{}

// Opened reports that the listener accepts connections again, as Open requested.
type Opened struct{}

func (Observed) isEvent()      {}
func (ProbeReceived) isEvent() {}
func (Opened) isEvent()        {}

// Action is an output of Controller.Handle, for the caller to carry out.
type Action interface{ isAction() }

// Close requests that the listener be closed.
type Close struct {
	OverloadedFor  time.Duration
	Routers        int     // Live routers of the data centre, this one included.
	Capacity       float64 // Their capacity.
	ClosedCapacity float64 // Capacity of those that are closed, this one included.
}

// Open requests that the listener be opened; it is repeated at each observation until Opened is received.
type Open struct {
	Reason    OpenReason
	ClosedFor time.Duration
	Attempt   int // 1 for the first one.
}

// KeepOpen reports why the listener of a router that has been overloaded for OverloadTime stays open. It is reported once for
// each reason in a row.
type KeepOpen struct{ Reason KeepReason }

func (Close) isAction()    {}
func (Open) isAction()     {}
func (KeepOpen) isAction() {}

// OpenReason says why a listener is opened again.
type OpenReason string

// The reasons to open a listener.
const (
	NoLongerOverloaded OpenReason = "NoLongerOverloaded"
	MaxClosedReached   OpenReason = "MaxClosedReached"
	DrainRequested     OpenReason = "DrainRequested"
)

// KeepReason says why the listener of an overloaded router stays open.
type KeepReason string

// The reasons to keep a listener open.
const (
	KeptDraining      KeepReason = "Draining"       // The router was asked to stop.
	KeptNotConfigured KeepReason = "NotConfigured"  // The router has no configuration, so that it cannot be overloaded by callers.
	KeptClosedBefore  KeepReason = "ClosedBefore"   // The listener has not been open for long enough since it was closed.
	KeptFewRouters    KeepReason = "FewRouters"     // Fewer than MinRouters live routers are in the data centre.
	KeptLargest       KeepReason = "Largest"        // The router is one of the largest of its data centre.
	KeptClosedShare   KeepReason = "ClosedCapacity" // Too much of the data centre's capacity would be closed.
	KeptNotReached    KeepReason = "NotReached"     // No other router of the data centre reaches this one.
)
