package router

import (
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// Config is what a router is started with.
type Config struct {
	VM      string        // Name of the VM that the router runs on.
	Listen  net.Listener  // Nil listens on the VM's address in the settings.
	Initial settings.Tree // Used until the store holds settings, and put there if it holds none.
	Store   keyvalue.Store
	Log     *zap.Logger // Nil discards.

	Budget   budget.Policy
	Endpoint endpoint.Policy
}

// Periods of the router's timers.
const (
	decidePeriod = 50 * time.Millisecond // Ticks of the deciders that serve requests.
	reportPeriod = time.Second           // Load queries to each endpoint.
	vmListPeriod = 2 * time.Second
	peerTimeout  = 2 * time.Second
	storeTimeout = 2 * time.Second
)
