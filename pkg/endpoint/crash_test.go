package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// crashPool drives a pool with endpoints that many requests with parts are sent to.
type crashPool struct {
	Pool

	now time.Time
	n   int
}

func newCrashPool() *crashPool {
	p := &crashPool{now: start}
	var endpoints []Endpoint
	for i := range 8 {
		endpoints = append(endpoints, Endpoint{Name: fmt.Sprint("e-", i), Serves: []string{"m"}, Slots: 8})
	}
	p.Handle(p.now, Configured{endpoints})
	return p
}

// submit submits a request whose prompt has the given shared parts and a last one of its own. It returns the first action,
// or nil if the request waits.
func (p *crashPool) submit(shared ...uint64) (id string, action Action) {
	p.n++
	p.now = p.now.Add(5 * time.Second)
	id = fmt.Sprint("r-", p.n)
	actions := p.Handle(p.now, Submitted{Request{
		ID: id, Service: "m", OutputTokens: 10, Fingerprint: uint64(p.n), Parts: p.prompt(p.n, shared...), Deadline: p.now.Add(time.Minute),
	}})
	if len(actions) == 0 {
		return id, nil
	}
	return id, actions[0]
}

func (p *crashPool) prompt(own int, shared ...uint64) []Part {
	var parts []Part
	for _, part := range append(shared, uint64(own)<<32) {
		parts = append(parts, Part{part, 50})
	}
	return parts
}

// crash ends the attempt of a request with the crash of its endpoint and returns the suspicions to send.
func (p *crashPool) crash(id, name string, shared ...uint64) []Suspicion {
	p.Handle(p.now, Ended{ID: id, Outcome: Died})
	var own int
	_, err := fmt.Sscanf(id, "r-%d", &own)
	if err != nil {
		panic(err)
	}
	var suspicions []Suspicion
	for _, action := range p.Handle(p.now, Crashed{Endpoint: name, Parts: p.prompt(own, shared...)}) {
		if broadcast, ok := action.(BroadcastSuspect); ok {
			suspicions = append(suspicions, broadcast.Suspect)
		}
	}
	p.Handle(p.now, Withdrawn{id})
	return suspicions
}

// TestPartUnderWhichEndpointsCrashIsRefused submits requests with one part in common, and sound ones with their other part.
func TestPartUnderWhichEndpointsCrashIsRefused(t *testing.T) {
	const first, sound, dead = 1, 2, 3
	p := newCrashPool()
	id, _ := p.submit(first, sound)
	p.Handle(p.now, Ended{ID: id, Outcome: Finished, Tokens: 10})
	for i := range maxPartDeaths + 1 {
		id, action := p.submit(first, dead)
		require.IsType(t, Send{}, action)
		suspicions := p.crash(id, action.(Send).Endpoint, first, dead)
		require.Len(t, suspicions, 1, "the first part is known good and the last one is the request's own")
		require.EqualValues(t, dead, suspicions[0].Fingerprint)
		require.Equal(t, i+1, suspicions[0].Deaths)
	}
	id, action := p.submit(first, dead)
	require.Equal(t, Refuse{id, refusal.Suspect, 0}, action)
	require.Len(t, p.BlockedParts(p.now), 1)
	_, action = p.submit(first, sound)
	require.IsType(t, Send{}, action)
	p.Handle(p.now, SuspectCleared{Fingerprint: dead, Part: true})
	_, action = p.submit(first, dead)
	require.IsType(t, Send{}, action, "a request with the part has finished at another router")
}

// TestCrashCountsOnceForAPart guards against refusing a part because many requests with it were in flight at one endpoint.
func TestCrashCountsOnceForAPart(t *testing.T) {
	const part = 3
	p := newCrashPool()
	var ids []string
	for range 6 {
		id, _ := p.submit(part)
		ids = append(ids, id)
	}
	for _, id := range ids {
		p.crash(id, "e-0", part)
	}
	require.Equal(t, 1, p.parts.deaths(p.now, part))
	id, action := p.submit(part)
	require.IsType(t, Send{}, action)
	waiting, action := p.submit(part)
	require.Nil(t, action, "while a part is a suspect, one request with it is in flight")
	actions := p.Handle(p.now, Ended{ID: id, Outcome: Finished, Tokens: 10})
	require.Equal(t, waiting, actions[0].(Send).ID, "the part is known good")
	require.Zero(t, p.parts.deaths(p.now, part))
}

// TestFailureWithoutOutputDoesNotClearAPart guards against taking an endpoint's error for a sound run.
func TestFailureWithoutOutputDoesNotClearAPart(t *testing.T) {
	const part = 3
	p := newCrashPool()
	id, _ := p.submit(part)
	p.Handle(p.now, Ended{ID: id, Outcome: Finished})
	require.True(t, p.HasUnknownParts(p.prompt(1, part)))
}
