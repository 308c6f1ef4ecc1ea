package request

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// TestWaitingRequestsAreRefusedWhenThePathIsLost loses the path while an endpoint is silent and requests wait for it.
func TestWaitingRequestsAreRefusedWhenThePathIsLost(t *testing.T) {
	const requests = 20
	ln, err := net.Listen("tcp4", "127.0.0.1:0") // Accepts no connection, but the operating system does.
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	f := &Forwarder{Endpoints: &placement.Endpoints{}, Log: zap.NewNop()}
	config := endpoint.Endpoint{Name: "e", Serves: []string{"s"}, Slots: 1}
	f.Endpoints.Configure(time.Now(), []placement.EndpointConfig{{Endpoint: config, Address: ln.Addr().String()}}, nil)
	lost, left := make(chan struct{}), make(chan struct{})
	replies := make(chan *Reply, requests)
	for i := range requests {
		r := &Request{
			Message:    Message{ID: "id", Method: http.MethodPost, Target: "/"},
			Terms:      Terms{Service: "s"},
			RunID:      fmt.Sprint("run-", i),
			Arrived:    time.Now(),
			Deadline:   time.Now().Add(time.Minute),
			CallerGone: left,
			Codec:      plainCodec{},
			PathLost:   func() <-chan struct{} { return lost },
		}
		go func() { replies <- f.Forward(r) }()
	}
	submitted := func() int { return f.Endpoints.State(time.Now()).Endpoints[0].Running + f.Endpoints.Waiting() }
	require.Eventually(t, func() bool { return submitted() == requests }, 5*time.Second, time.Millisecond)
	waiting := f.Endpoints.Waiting()
	require.Positive(t, waiting)
	close(lost)
	for range waiting {
		out := <-replies
		require.NotNil(t, out.Refusal)
		require.Equal(t, refusal.NoEndpoint, out.Refusal.Kind)
		require.False(t, out.Ran)
	}
	require.Zero(t, f.Endpoints.Waiting())
	require.Empty(t, replies, "an attempt that may have run goes on")
	close(left)
	for range requests - waiting {
		require.Equal(t, refusal.CallerGone, (<-replies).Refusal.Kind)
	}
}
