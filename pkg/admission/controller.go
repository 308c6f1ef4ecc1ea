package admission

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of a Controller.
const (
	MinLinkExcess  = 0.5                     // Share of requests refused because of the link from which on a router is overloaded.
	OverloadTime   = 400 * time.Millisecond  // Time for which a router must have been overloaded before it closes.
	MinClosed      = time.Second             // Shortest time for which a listener is closed; callers move within a second.
	MaxClosed      = 2500 * time.Millisecond // Longest time; callers may find a router without a listener for 4 s at most.
	OpenFactor     = 7                       // Times as long as it was closed a listener stays open, so that a router is ready for 7/8 of the time.
	ReturnTime     = 5 * time.Second         // After an opening, in which the directory still sends few callers.
	MinRouters     = 3                       // Live routers of a data centre below which none closes.
	OpenShare      = 0.25                    // Share of a data centre's capacity whose routers, the largest, never close.
	MaxClosedShare = 0.25                    // Share of a data centre's capacity that may be closed at a time.
	// ProbeWindow is the time without a probe after which no router of the data centre is taken to reach this one. Routers probe
	// others at random: with 71 in 3 data centres, one of its own probes a router 0.6 times a second, so that a router that is
	// reached goes without a probe for 8 s with a probability below 1%.
	ProbeWindow = 8 * time.Second
)

// Controller decides for one router when its listener for callers closes and opens.
//
// The zero value with a VM has an open listener. A Controller is not safe for concurrent use.
type Controller struct {
	VM string // The router's own VM.

	phase           phase
	overloadedSince time.Time  // Zero while the router is not overloaded.
	closedAt        time.Time  // When the listener was last closed.
	openedAt        time.Time  // When it was last opened again; zero if it never was closed.
	probedAt        time.Time  // When another router of the data centre last probed this one.
	reason          OpenReason // Why the listener is being opened.
	attempts        int        // Number of attempts to open it.
	kept            KeepReason // Last reason reported by KeepOpen; empty while the router is not overloaded.
}

// phase is the state of a listener.
type phase uint8

const (
	open phase = iota
	closed
	opening
)

// Handle applies an event at time now and returns the actions to carry out.
func (c *Controller) Handle(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Observed:
		return c.observe(now, ev)
	case ProbeReceived:
		c.probedAt = now
		return nil
	case Opened:
		if c.phase == opening {
			c.phase = open
			c.openedAt = now
		}
		return nil
	default:
		return nil
	}
}

// Closed reports whether the listener is closed.
func (c *Controller) Closed() bool { return c.phase != open }

// Loaded reports whether the directory is to send few callers to this router, because its listener is or was closed.
func (c *Controller) Loaded(now time.Time) bool {
	return c.Closed() || !c.openedAt.IsZero() && now.Sub(c.openedAt) < ReturnTime
}

func (c *Controller) observe(now time.Time, o Observed) []Action {
	overloaded := o.ProcessorLate || o.LinkExcess >= MinLinkExcess
	switch {
	case !overloaded:
		c.overloadedSince = time.Time{}
		c.kept = ""
	case c.overloadedSince.IsZero():
		c.overloadedSince = now
	}
	switch c.phase {
	case closed:
		return c.considerOpening(now, o.Draining, overloaded)
	case opening:
		return c.open(now, c.reason)
	default:
		return c.considerClosing(now, o)
	}
}

func (c *Controller) considerOpening(now time.Time, draining, overloaded bool) []Action {
	closedFor := now.Sub(c.closedAt)
	switch {
	case draining:
		return c.open(now, DrainRequested)
	case closedFor >= MaxClosed:
		return c.open(now, MaxClosedReached)
	case closedFor >= MinClosed && !overloaded:
		return c.open(now, NoLongerOverloaded)
	}
	return nil
}

// open requests the next attempt to open the listener.
func (c *Controller) open(now time.Time, reason OpenReason) []Action {
	c.phase = opening
	c.reason = reason
	c.attempts++
	return []Action{Open{Reason: reason, ClosedFor: now.Sub(c.closedAt), Attempt: c.attempts}}
}

func (c *Controller) considerClosing(now time.Time, o Observed) []Action {
	if c.overloadedSince.IsZero() || now.Sub(c.overloadedSince) < OverloadTime {
		return nil
	}
	d := newDataCentre(c.VM, o.Routers)
	if reason := c.reasonToKeep(now, o, &d); reason != "" {
		if reason == c.kept {
			return nil
		}
		c.kept = reason
		return []Action{KeepOpen{reason}}
	}
	c.phase = closed
	c.closedAt = now
	c.attempts = 0
	c.kept = ""
	return []Action{Close{
		OverloadedFor:  now.Sub(c.overloadedSince),
		Routers:        len(o.Routers),
		Capacity:       d.capacity,
		ClosedCapacity: d.closedCapacity,
	}}
}

// reasonToKeep returns why an overloaded router must not close its listener, or an empty string if it may.
func (c *Controller) reasonToKeep(now time.Time, o Observed, d *dataCentre) KeepReason {
	switch {
	case o.Draining:
		return KeptDraining
	case !o.Configured:
		return KeptNotConfigured
	case !c.openedAt.IsZero() && now.Sub(c.openedAt) < OpenFactor*c.openedAt.Sub(c.closedAt):
		return KeptClosedBefore
	case len(o.Routers) < MinRouters:
		return KeptFewRouters
	case d.larger < OpenShare*d.capacity:
		return KeptLargest
	case d.closedCapacity > MaxClosedShare*d.capacity:
		return KeptClosedShare
	case c.probedAt.IsZero() || now.Sub(c.probedAt) >= ProbeWindow:
		return KeptNotReached
	}
	return ""
}

// dataCentre sums up the live routers of a data centre from the view of one of them.
type dataCentre struct {
	capacity       float64 // Of all.
	larger         float64 // Of those that are ranked before this one.
	closedCapacity float64 // Of those that are closed, this one included.
}

// newDataCentre sums up routers from the view of the one on the given VM. Routers of equal size are ranked by VM, so that all
// routers agree on which of them are the largest.
func newDataCentre(vm string, routers []Router) dataCentre {
	ranked := slices.Clone(routers)
	slices.SortFunc(ranked, func(a, b Router) int { return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.VM, b.VM)) })
	var d dataCentre
	for _, r := range ranked {
		if r.VM == vm {
			d.larger = d.capacity
		}
		if r.VM == vm || r.Closed {
			d.closedCapacity += r.Size
		}
		d.capacity += r.Size
	}
	return d
}
