package request

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// heldCodec is a resumeCodec that hands on the first event of the first attempt only when it has a place elsewhere.
type heldCodec struct {
	resumeCodec

	f     *Forwarder
	begun bool // An attempt has brought an answer.
}

func (c *heldCodec) Events(body io.Reader) EventReader {
	r := &heldReader{in: NewSSEReader(body), f: c.f, read: c.begun}
	c.begun = true
	return r
}

// heldReader is the EventReader of a heldCodec.
type heldReader struct {
	in   EventReader
	f    *Forwarder
	read bool // The first event was handed on, or is not to be held.
}

func (r *heldReader) Next() (Event, error) {
	e, err := r.in.Next()
	if r.read {
		return e, err
	}
	r.read = true
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline) && placesTaken(r.f) == 1; {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(testStall) // For the attempt to be aborted after its place was taken.
	return e, err
}

// placesTaken returns how many places at endpoints the requests have.
func placesTaken(f *Forwarder) int {
	n := 0
	for _, v := range f.Endpoints.State(time.Now()).Endpoints {
		n += v.Running
	}
	return n
}

// versioned answers with events that carry the software version of the endpoint.
func versioned(version string, arrived chan<- struct{}) func(*received) {
	return func(x *received) {
		if arrived != nil {
			select {
			case arrived <- struct{}{}:
			default:
			}
		}
		x.head()
		for n := x.after + 1; n <= testEvents; n++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, version)
			_, _ = fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(event), event)
		}
		x.end()
	}
}

// TestFirstEventAtTheMomentOfAMove lets the first event of a stream arrive while its attempt is aborted for a place at an
// endpoint with another version. The caller gets each event once, and all from one version.
func TestFirstEventAtTheMomentOfAMove(t *testing.T) {
	for _, tc := range []struct {
		name      string
		resumable bool
	}{{"resumable", true}, {"not resumable", false}} {
		t.Run(tc.name, func(t *testing.T) {
			f := newStallForwarder(endpoint.Policy{})
			arrived := make(chan struct{}, 1)
			first := startEndpoint(t, "first", versioned("v1", arrived))
			first.config.Version = "v1"
			second := startEndpoint(t, "second", versioned("v2", nil))
			second.config.Version = "v2"
			configure(f, first)
			onceArrived(t, arrived, func() { configure(f, first, second) })
			terms := streamTerms()
			terms.Resumable = tc.resumable
			req := newStallRequest("run", terms)
			req.Codec = &heldCodec{f: f}
			out := f.Forward(req)
			require.NotNil(t, out.Stream)
			defer func() { _ = out.Stream.Close() }()
			answer, err := io.ReadAll(out.Stream)
			require.NoError(t, err)
			version := "v1"
			if strings.Contains(string(answer), "v2") {
				version = "v2"
			}
			var want strings.Builder
			for n := 1; n <= testEvents; n++ {
				_, _ = fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", n, version)
			}
			require.Equal(t, want.String(), string(answer))
		})
	}
}
