package gateway

import (
	"sync"
	"time"
)

// entriesKnown tells requests that arrive while the process starts when the endpoints are known. The zero value waits for set.
type entriesKnown struct {
	once sync.Once
	done chan struct{} // Closed by set.

	setOnce sync.Once
}

func (k *entriesKnown) channel() chan struct{} {
	k.once.Do(func() { k.done = make(chan struct{}) })
	return k.done
}

// set records that the pool of endpoints was configured with all entries.
func (k *entriesKnown) set() { k.setOnce.Do(func() { close(k.channel()) }) }

// Limits of the wait of a request for the first read of the entries.
const (
	entriesWait        = 2 * time.Second // From the start of the process. A store that answers later than that is taken for lost.
	entriesWaitDivisor = 4               // A request waits for this part of the time until its deadline at most.
)

// await blocks a request that arrives while the process starts until the endpoints are known, its caller has left or the wait
// has taken too long. Refused at once for want of an endpoint, it would be told to come back much later than need be.
func (k *entriesKnown) await(now, started, deadline time.Time, callerGone <-chan struct{}) {
	wait := min(started.Add(entriesWait).Sub(now), deadline.Sub(now)/entriesWaitDivisor)
	if wait <= 0 {
		return
	}
	known := k.channel()
	select {
	case <-known:
		return
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-known:
	case <-callerGone:
	case <-timer.C:
	}
}
