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

// await blocks a request that arrives while the process starts until the endpoints are known, and reports false if its caller
// has left or the wait has taken too long before that. A request that arrives later never waits.
func (k *entriesKnown) await(now, started, deadline time.Time, callerGone <-chan struct{}) bool {
	starting := started.Add(entriesWait).Sub(now)
	if starting <= 0 {
		return true
	}
	known := k.channel()
	select {
	case <-known:
		return true
	default:
	}
	timer := time.NewTimer(min(starting, deadline.Sub(now)/entriesWaitDivisor))
	defer timer.Stop()
	select {
	case <-known:
		return true
	case <-callerGone:
	case <-timer.C:
	}
	return false
}
