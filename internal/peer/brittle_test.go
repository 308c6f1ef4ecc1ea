package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// TestProbesSpreadBrittleEndpoints lets a router without news of an endpoint probe one that has, before and after it ends.
func TestProbesSpreadBrittleEndpoints(t *testing.T) {
	s := newService(t, 10)
	c := newClient(serve(t, s))
	configureVersions(s.Endpoints, "v1")
	configureVersions(c.Endpoints, "v1")
	var known []endpoint.BrittleChanged
	c.Endpoints.OnBrittleChanged = func(changed endpoint.BrittleChanged) { known = append(known, changed) }
	address, ok := c.Members.VMAddress("vm-1")
	require.True(t, ok)
	probe := func() {
		_, err := c.Probe(address, nil)
		require.NoError(t, err)
	}
	now := time.Now()
	s.Endpoints.Handle(now, endpoint.BrittleReported{Endpoint: "a", Tolerated: 3, At: now})
	s.Endpoints.Handle(now, endpoint.CapacityRejected{Endpoint: "a"})
	s.Endpoints.Handle(now, endpoint.LoadReported{Endpoint: "a", Load: endpoint.Load{Running: 7, Waiting: 1}})
	probe()
	probe()
	require.Len(t, known, 1)
	require.Equal(t, 3, known[0].Now)
	reports := c.Endpoints.BrittleReports(now)
	require.Len(t, reports, 1)
	require.Equal(t, endpoint.Load{Running: 7, Waiting: 1}, reports[0].Load)
	require.WithinDuration(t, now, reports[0].RejectedAt, time.Second)
	require.WithinDuration(t, now, reports[0].LoadAt, time.Second)
	later := now.Add(time.Second)
	s.Endpoints.Handle(later, endpoint.BrittleReported{Endpoint: "a", At: later})
	probe()
	require.Len(t, known, 2)
	require.Zero(t, known[1].Now)
}

// TestProbesCarryABoundedNumberOfBrittleEndpoints lets more endpoints be brittle than one probe tells of.
func TestProbesCarryABoundedNumberOfBrittleEndpoints(t *testing.T) {
	var endpoints placement.Endpoints
	now := time.Now()
	var configs []placement.EndpointConfig
	for n := range 4 * maxProbeBrittle {
		configs = append(configs, placement.EndpointConfig{Endpoint: endpoint.Endpoint{Name: fmt.Sprint(n), Serves: []string{"s"}, Slots: 1}, Address: "a:1"})
	}
	endpoints.Configure(now, configs, nil)
	for _, cfg := range configs {
		endpoints.Handle(now, endpoint.BrittleReported{Endpoint: cfg.Name, Tolerated: 1, At: now})
	}
	require.Len(t, endpoints.BrittleReports(now), 4*maxProbeBrittle)
	require.Len(t, brittleMessages(now, &endpoints), maxProbeBrittle)
}
