package peer

import (
	"sync"
	"time"
)

// EvacuatedSet is the set of evacuated data centres at a revision of the store. The zero value is older than any other.
type EvacuatedSet struct {
	Revision    uint64
	DataCentres []string
}

// Evacuations holds the newest set of evacuated data centres that a router knows of.
type Evacuations interface {
	Newest() EvacuatedSet
	// Adopt puts a set in force if it is newer than the known one.
	Adopt(now time.Time, set EvacuatedSet, source string)
}

// evacuationMessage tells the newest revision that a router knows of, and the set then unless its peer has it.
type evacuationMessage struct {
	Revision    uint64
	DataCentres []string // Null if not told; empty if there are none.
}

// newEvacuationMessage returns the message to a peer that knows a revision, or nil if evacuations are off.
func newEvacuationMessage(e Evacuations, known uint64) *evacuationMessage {
	if e == nil {
		return nil
	}
	set := e.Newest()
	m := &evacuationMessage{Revision: set.Revision}
	if set.Revision > known {
		m.DataCentres = append([]string{}, set.DataCentres...)
	}
	return m
}

// adoptEvacuations passes a set that a peer told to the router.
func adoptEvacuations(now time.Time, e Evacuations, m *evacuationMessage, peer string) {
	if e == nil || m == nil || m.DataCentres == nil {
		return
	}
	e.Adopt(now, EvacuatedSet{m.Revision, m.DataCentres}, peer)
}

// knownRevisions holds the newest revision of evacuations that each peer is known to have, by address.
//
// A peer that has told none gets none in probes: it may be of a build that rejects a message with this field.
type knownRevisions struct {
	mu        sync.Mutex
	revisions map[string]uint64 // Guarded by mu.
}

// message returns the message for a probe of a peer, or nil if it is not known to understand one.
func (k *knownRevisions) message(e Evacuations, address string) *evacuationMessage {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.revisions[address]
	if !ok {
		return nil
	}
	return newEvacuationMessage(e, known)
}

// record records what an answer of a peer shows; nil stands for an answer without evacuations or for none.
func (k *knownRevisions) record(address string, m *evacuationMessage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m == nil {
		delete(k.revisions, address)
		return
	}
	if k.revisions == nil {
		k.revisions = map[string]uint64{}
	}
	k.revisions[address] = m.Revision
}
