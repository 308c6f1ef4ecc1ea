package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// configureVersions configures endpoints of a service with the given versions.
func configureVersions(endpoints *placement.Endpoints, versions ...string) {
	var configs []placement.EndpointConfig
	for i, version := range versions {
		e := endpoint.Endpoint{Name: string(rune('a' + i)), Serves: []string{"s"}, Version: version, Slots: 1}
		configs = append(configs, placement.EndpointConfig{Endpoint: e, Address: "a:1"})
	}
	endpoints.Configure(time.Now(), configs, nil)
}

// TestHomesKnowWhereStreamsOfALostRouterBegan guards against streams whose version dies with the router that served them.
func TestHomesKnowWhereStreamsOfALostRouterBegan(t *testing.T) {
	home := newService(t, 10)
	address := serve(t, home)
	lost := &Origins{Client: newClient(address), Registry: &origin.Registry{}}
	o := origin.Origin{Stream: "1", Service: "s", Version: "v1"}
	configureVersions(lost.Client.Endpoints, "v1", "v1")
	now := time.Now()
	lost.Began(now, o)
	lost.Tell(now)
	other := &Origins{Client: newClient(address), Registry: &origin.Registry{}}
	require.Equal(t, origin.Answer{}, other.Find(now, "1", "s"), "one version serves, so nobody was told")

	configureVersions(lost.Client.Endpoints, "v1", "v2")
	configureVersions(home.Endpoints, "v1", "v2")
	require.Equal(t, origin.Answer{SeveralVersions: true}, other.Find(now, "1", "s"), "the home knows of the second version")
	lost.Tell(now)
	require.Equal(t, origin.Answer{Origin: o, Known: true}, withoutVersions(other.Find(now, "1", "s")))

	o.Stream = "2"
	lost.Began(now, o)
	require.Eventually(t, func() bool { return other.Find(now, "2", "s").Known }, 5*time.Second, 10*time.Millisecond, "told soon")
}

func withoutVersions(a origin.Answer) origin.Answer {
	a.SeveralVersions = false
	return a
}

// TestProbesSpreadLimits lets a router without news of an endpoint probe one that has, before and after the limit ends.
func TestProbesSpreadLimits(t *testing.T) {
	s := newService(t, 10)
	c := newClient(serve(t, s))
	configureVersions(s.Endpoints, "v1")
	configureVersions(c.Endpoints, "v1")
	var known []endpoint.LimitChanged
	c.Endpoints.OnLimitChanged = func(changed endpoint.LimitChanged) { known = append(known, changed) }
	address, ok := c.Members.VMAddress("vm-1")
	require.True(t, ok)
	probe := func() {
		_, err := c.Probe(address, nil)
		require.NoError(t, err)
	}
	now := time.Now()
	s.Endpoints.Handle(now, endpoint.LimitReported{Endpoint: "a", Rate: 3, At: now})
	probe()
	probe()
	require.Len(t, known, 1)
	require.InDelta(t, 3, known[0].Now, 0)
	later := now.Add(time.Second)
	s.Endpoints.Handle(later, endpoint.LimitReported{Endpoint: "a", At: later})
	probe()
	require.Len(t, known, 2)
	require.Zero(t, known[1].Now)
}
