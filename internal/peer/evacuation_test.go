package peer

import (
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/strict"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// heldEvacuations holds the newest set and counts the sets that were told.
type heldEvacuations struct {
	mu   sync.Mutex
	set  EvacuatedSet
	told int
}

func (h *heldEvacuations) Newest() EvacuatedSet {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set
}

func (h *heldEvacuations) Adopt(_ time.Time, set EvacuatedSet, _ string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told++
	if set.Revision > h.set.Revision {
		h.set = set
	}
}

// probeFunc returns a function that sends a probe of a client to vm-1.
func probeFunc(t *testing.T, c *Client) func() {
	address, ok := c.Members.VMAddress("vm-1")
	require.True(t, ok)
	return func() {
		_, err := c.Probe(address, c.Members.Updates())
		require.NoError(t, err)
	}
}

// TestProbesSpreadEvacuations guards against a router that the store rejects and that never learns of an evacuation or of its
// end, whichever of two routers sends the probe.
func TestProbesSpreadEvacuations(t *testing.T) {
	s := newService(t, 10)
	served, own := &heldEvacuations{}, &heldEvacuations{}
	s.Evacuations = served
	c := newClient(serve(t, s))
	c.Evacuations = own
	probe := probeFunc(t, c)
	served.set = EvacuatedSet{Revision: 7, DataCentres: []string{"dc-1", "dc-2"}}
	probe()
	require.Equal(t, served.set, own.Newest(), "told in an answer")
	own.set = EvacuatedSet{Revision: 9, DataCentres: []string{"dc-2"}}
	probe()
	require.Equal(t, own.set, served.Newest(), "told in a probe")
	served.set = EvacuatedSet{Revision: 12, DataCentres: []string{}}
	probe()
	require.Equal(t, EvacuatedSet{Revision: 12, DataCentres: []string{}}, own.Newest(), "all ended")
}

// TestKnownEvacuationsAreNotRepeated guards against probes that carry the names of many data centres each second.
func TestKnownEvacuationsAreNotRepeated(t *testing.T) {
	s := newService(t, 10)
	served, own := &heldEvacuations{}, &heldEvacuations{}
	s.Evacuations = served
	c := newClient(serve(t, s))
	c.Evacuations = own
	probe := probeFunc(t, c)
	served.set = EvacuatedSet{Revision: 7, DataCentres: []string{"dc-1"}}
	for range 5 {
		probe()
	}
	require.Equal(t, 1, own.told)
	require.Zero(t, served.told)
	body, err := json.Marshal(newEvacuationMessage(served, 7))
	require.NoError(t, err)
	require.JSONEq(t, `{"Revision":7,"DataCentres":null}`, string(body))
}

// earlierMessage is a probe message of a build without evacuations.
type earlierMessage struct {
	Updates  []fleet.Member
	Suspects []suspectMessage `json:",omitempty"`
	Known    suspectReply
	Limits   []limitMessage   `json:",omitempty"`
	Brittle  []brittleMessage `json:",omitempty"`
}

// serveEarlier answers probes as a build without evacuations does, which rejects messages with fields that it does not know.
func serveEarlier(t *testing.T) (address string, rejected *int) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	rejected = new(int)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		var m earlierMessage
		if strict.Decode(ctx.PostBody(), &m) != nil {
			*rejected++
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		ctx.SetBodyString(`{"Updates":[{"VM":"vm-1","Incarnation":1,"Beat":1}],"Known":{"Sound":[]}}`)
	}}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String(), rejected
}

// TestRoutersOfEarlierBuildsAreProbed guards against routers of two builds that take each other for dead, because the earlier
// one rejects messages with evacuations.
func TestRoutersOfEarlierBuildsAreProbed(t *testing.T) {
	address, rejected := serveEarlier(t)
	c := newClient(address)
	c.Evacuations = &heldEvacuations{set: EvacuatedSet{Revision: 7, DataCentres: []string{"dc-1"}}}
	probe := probeFunc(t, c)
	for range 3 {
		probe()
	}
	require.Zero(t, *rejected)
	c.knownRevisions.record(address, &evacuationMessage{}) // As if a later build had answered there before.
	for range 3 {
		probe()
	}
	require.Equal(t, 1, *rejected, "the probe is sent again without evacuations")
}

// TestEvacuationsAreAbsentWhereTheyAreOff guards against messages that routers of earlier builds reject in deployments without
// evacuations, and against a router without them that adopts some.
func TestEvacuationsAreAbsentWhereTheyAreOff(t *testing.T) {
	s := newService(t, 10)
	body, err := json.Marshal(probeMessage{Evacuations: &evacuationMessage{7, []string{"dc-1"}}})
	require.NoError(t, err)
	answer, _, err := s.Answer(ProbePath, body)
	require.NoError(t, err)
	require.NotContains(t, string(answer), "Evacuations")
	s.Evacuations = &heldEvacuations{set: EvacuatedSet{Revision: 7, DataCentres: []string{"dc-1"}}}
	c := newClient(serve(t, s))
	c.Log = zap.NewNop()
	probe := probeFunc(t, c)
	probe()
	require.Nil(t, newEvacuationMessage(c.Evacuations, 0))
	probe()
}
