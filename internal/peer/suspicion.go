package peer

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// suspicionDelay is the time for which suspicions are collected before they are sent.
//
// When many attempts break at once, their suspicions share one message.
const suspicionDelay = 100 * time.Millisecond

// maxProbeSuspects limits the suspicions of parts in one probe, and those of requests.
const maxProbeSuspects = 16

// BroadcastSuspicion sends a suspicion to all other routers after suspicionDelay.
func (c *Client) BroadcastSuspicion(s endpoint.Suspicion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspicions = append(c.suspicions, newSuspectMessage(time.Now(), s))
	if len(c.suspicions) == 1 {
		time.AfterFunc(suspicionDelay, c.sendSuspicions)
	}
}

// sendSuspicions sends the collected suspicions to all peers and clears the suspects that have finished at a peer.
func (c *Client) sendSuspicions() {
	c.mu.Lock()
	message := c.suspicions
	c.suspicions = nil
	c.mu.Unlock()
	for _, m := range c.Members.Peers() {
		c.Background(func() {
			var answer suspectReply
			if err := c.Post(m.Address, SuspectPath, message, &answer); err != nil {
				c.Log.Warn("suspicions not told", zap.String("Peer", m.Name()), logfile.Error(err))
			}
			clearSuspects(time.Now(), c.Endpoints, answer)
		})
	}
}

func newSuspectMessage(now time.Time, s endpoint.Suspicion) suspectMessage {
	return suspectMessage{
		Fingerprint:      s.Fingerprint,
		Part:             s.Part,
		Deaths:           s.Deaths,
		Endpoint:         s.Endpoint,
		KeepMilliseconds: s.Until.Sub(now).Milliseconds(),
	}
}

// blockedSuspects returns the suspicions of parts and of requests that this router refuses, for a probe.
//
// If there are more than one probe carries, each probe takes others.
func blockedSuspects(now time.Time, endpoints *placement.Endpoints) []suspectMessage {
	var messages []suspectMessage
	for _, blocked := range [][]endpoint.Suspicion{endpoints.BlockedParts(now), endpoints.BlockedRequests(now)} {
		rand.Shuffle(len(blocked), func(i, j int) { blocked[i], blocked[j] = blocked[j], blocked[i] })
		for _, s := range blocked[:min(len(blocked), maxProbeSuspects)] {
			messages = append(messages, newSuspectMessage(now, s))
		}
	}
	return messages
}

// adoptSuspects passes the suspicions of a peer to the endpoint pool.
func adoptSuspects(now time.Time, endpoints *placement.Endpoints, messages []suspectMessage) {
	for _, m := range messages {
		until := now.Add(time.Duration(m.KeepMilliseconds) * time.Millisecond)
		suspicion := endpoint.Suspicion{Fingerprint: m.Fingerprint, Part: m.Part, Deaths: m.Deaths, Endpoint: m.Endpoint, Until: until}
		endpoints.Handle(now, endpoint.SuspectReported{Suspect: suspicion})
	}
}

// clearSuspects ends the suspicions of what has finished at a peer.
func clearSuspects(now time.Time, endpoints *placement.Endpoints, known suspectReply) {
	for _, f := range known.KnownSafe {
		endpoints.Handle(now, endpoint.SuspectCleared{Fingerprint: f})
	}
	for _, id := range known.KnownSafeParts {
		endpoints.Handle(now, endpoint.SuspectCleared{Fingerprint: id, Part: true})
	}
}
