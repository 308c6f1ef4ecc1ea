package gateway

import (
	"container/list"
	"sync"
)

// idleConnections are the connections of callers that wait for a request, so that the longest idle ones can be closed when the
// process has no file descriptors left. The zero value is empty.
type idleConnections struct {
	mu     sync.Mutex
	oldest list.List // Of *conn, the longest idle first; guarded by mu.
}

// add records that a connection has become idle.
func (i *idleConnections) add(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.idleElement == nil {
		c.idleElement = i.oldest.PushBack(c)
	}
}

// remove records that a connection is no longer idle.
func (i *idleConnections) remove(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.idleElement != nil {
		i.oldest.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// closeLongest makes up to n connections end, those that have been idle longest, and returns how many. A request that has
// arrived on one of them meanwhile is still served.
func (i *idleConnections) closeLongest(n int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	closed := 0
	for ; closed < n && i.oldest.Len() > 0; closed++ {
		c := i.oldest.Remove(i.oldest.Front()).(*conn)
		c.idleElement = nil
		c.endIdle()
	}
	return closed
}
