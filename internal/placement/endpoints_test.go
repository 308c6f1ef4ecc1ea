package placement

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// TestRestartOfAnEndpointLeavesNoGap submits requests while the only endpoint of their service is configured again and
// again as restarted. A request that found no endpoint for a moment was refused, and a stream was not resumed.
func TestRestartOfAnEndpointLeavesNoGap(t *testing.T) {
	var e Endpoints
	now := time.Unix(1e9, 0)
	configs := []EndpointConfig{{Endpoint: endpoint.Endpoint{Name: "a", Serves: []string{"m"}, Slots: 8}, Address: "x"}}
	e.Configure(now, configs, nil)
	stop := make(chan struct{})
	var configuring sync.WaitGroup
	configuring.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				e.Configure(now, configs, map[string]bool{"a": true})
			}
		}
	})
	refused := 0
	for i := range 20000 {
		id := strconv.Itoa(i)
		decisions := e.Decisions.Open(id)
		e.Handle(now, endpoint.Submitted{Request: endpoint.Request{ID: id, Service: "m", Deadline: now.Add(time.Minute)}})
		select {
		case action := <-decisions:
			if _, ok := action.(endpoint.Refuse); ok {
				refused++
			}
		default:
		}
		e.Decisions.Close(id)
		e.Handle(now, endpoint.Withdrawn{ID: id})
	}
	close(stop)
	configuring.Wait()
	require.Zero(t, refused)
}
