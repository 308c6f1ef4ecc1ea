package request

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// TestAnswerThatSaysColdReachesThePool guards against an endpoint that became cold again and is known as such only from its
// answers, and against taking another endpoint's answer for its own.
func TestAnswerThatSaysColdReachesThePool(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, misdirected := range []bool{false, true} {
		var endpoints placement.Endpoints
		endpoints.Configure(now, []placement.EndpointConfig{{Endpoint: endpoint.Endpoint{Name: "a", Serves: []string{"m"}, Slots: 8, ColdRate: 8.8, ColdFor: 3 * time.Second}}}, nil)
		r := &run{f: &Forwarder{Endpoints: &endpoints}, req: &Request{}}
		r.reportHead(now, "a", &attempt{head: AnswerHead{Cold: time.Second, Misdirected: misdirected}})
		require.Equal(t, !misdirected, endpoints.State(now).Endpoints[0].Cold)
	}
}
