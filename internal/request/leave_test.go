package request

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/connection"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// TestNothingIsSentToAnEndpointThatLeftWhileAConnectionWasOpened guards against a request that reaches an endpoint which
// announced its leave after the request was placed there and before a connection was open.
func TestNothingIsSentToAnEndpointThatLeftWhileAConnectionWasOpened(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, ln.Close()) }()
	read := make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		n, _ := conn.Read(make([]byte, 1))
		read <- n
	}()
	f := &Forwarder{Endpoints: &placement.Endpoints{}, Log: zap.NewNop()}
	now := time.Now()
	configuration := []placement.EndpointConfig{{Endpoint: endpoint.Endpoint{Name: "e", Serves: []string{"s"}, Slots: 8}, Address: ln.Addr().String()}}
	f.Endpoints.Configure(now, configuration, nil)
	conn, err := f.Connections.Get(now, ln.Addr().String(), connection.Terms{})
	require.NoError(t, err)
	f.Endpoints.Handle(now, endpoint.LeavingAnnounced{Endpoint: "e"})
	r := &run{f: f, req: &Request{
		Message: Message{ID: "id", Method: http.MethodPost, Target: "/"}, Terms: Terms{Service: "s"}, RunID: "run", Deadline: now.Add(time.Second), Codec: plainCodec{},
	}}
	_, err = r.send(now, ln.Addr().String(), conn, AttemptInfo{Endpoint: "e"})
	require.True(t, errors.Is(err, connection.ErrNotSent), err)
	require.Zero(t, <-read)
}
