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

// Config holds the settings and dependencies of a Router.
type Config struct {
	VM      string        // Name of the VM that the router runs on.
	Listen  net.Listener  // Nil means a new listener on the VM's address in the settings.
	Initial settings.Tree // In force until settings are read from the store, and stored if the store has none.
	Store   keyvalue.Store
	Log     *zap.Logger // Nil discards the log.

	Budget   budget.Policy // Its Horizon and Step come from the settings if Horizon is zero.
	Endpoint endpoint.Policy
}

// Periods of the router's timers, and timeouts of its calls.
const (
	tickPeriod     = 50 * time.Millisecond // Between two ticks of the state machines that serve requests.
	loadPollPeriod = time.Second           // Between two load queries to an endpoint.
	vmListPeriod   = 2 * time.Second
	peerTimeout    = 2 * time.Second
	storeTimeout   = 2 * time.Second
)
