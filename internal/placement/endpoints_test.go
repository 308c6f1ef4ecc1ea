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

// TestColdAndPacedEndpointsAreTold guards against changes of cold and paced endpoints that are not reported to the log.
func TestColdAndPacedEndpointsAreTold(t *testing.T) {
	var e Endpoints
	var cold []endpoint.ColdChanged
	var paced []endpoint.PaceChanged
	e.OnColdChanged = func(c endpoint.ColdChanged) { cold = append(cold, c) }
	e.OnPaceChanged = func(c endpoint.PaceChanged) { paced = append(paced, c) }
	now := time.Unix(1e9, 0)
	e.Configure(now, []EndpointConfig{{Endpoint: endpoint.Endpoint{Name: "a", Serves: []string{"m"}, Slots: 8, ColdRate: 8.8, ColdLeft: 2 * time.Second}}}, nil)
	for s := range 6 {
		e.Handle(now.Add(time.Duration(s)*time.Second), endpoint.Tick{})
	}
	require.Len(t, cold, 2)
	require.True(t, cold[0].Cold)
	require.False(t, cold[1].Cold)
	require.Len(t, paced, 2)
	require.True(t, paced[0].Paced)
	require.False(t, paced[1].Paced)
}
