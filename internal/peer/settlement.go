package peer

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// Timing of settlements.
const (
	settlementDelay       = 200 * time.Millisecond // For which settlements are collected before they are sent.
	settlementAttempts    = 3
	settlementRetryDelay  = 300 * time.Millisecond // After the first failed attempt; it doubles with each further one.
	maxLoggedUnsettledIDs = 8
)

// settlements collects the settlements for each lender. The zero value is empty.
type settlements struct {
	mu      sync.Mutex
	pending map[string][]ledger.Settlement // By the lender's VM; an entry exists while a goroutine sends to it. Guarded by mu.
}

// add appends a settlement for a lender and reports whether no goroutine sends to it yet.
func (s *settlements) add(vm string, next ledger.Settlement) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = map[string][]ledger.Settlement{}
	}
	batch, sending := s.pending[vm]
	s.pending[vm] = append(batch, next)
	return !sending
}

// take removes and returns the settlements for a lender. If there are none, the goroutine that sends to it must end.
func (s *settlements) take(vm string) []ledger.Settlement {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.pending[vm]
	if len(batch) == 0 {
		delete(s.pending, vm)
		return nil
	}
	s.pending[vm] = nil
	return batch
}

// Settled reports whether no settlement waits to be sent.
func (c *Client) Settled() bool {
	c.settlements.mu.Lock()
	defer c.settlements.mu.Unlock()
	return len(c.settlements.pending) == 0
}

// Settle reports to a lender how many tokens a request used, in the background.
//
// All settlements for a lender share one message at a time, so that a router
// whose calls time out, whatever the reason, does not make more of them than
// one that is answered.
func (c *Client) Settle(peer string, s ledger.Settlement) {
	vm := fleet.VMOf(peer)
	if c.settlements.add(vm, s) {
		c.Background(func() { c.sendSettlements(vm) })
	}
}

// sendSettlements sends the settlements for a lender until there are none left.
func (c *Client) sendSettlements(vm string) {
	for {
		time.Sleep(settlementDelay)
		batch := c.settlements.take(vm)
		if len(batch) == 0 {
			return
		}
		c.deliverSettlements(vm, batch)
	}
}

// deliverSettlements sends settlements to a lender.
//
// It retries, because a request whose settlement is lost is billed in full. The
// lender may have restarted since it made the reservations; an incarnation
// without these loans ignores the settlements.
func (c *Client) deliverSettlements(vm string, batch []ledger.Settlement) {
	err := ErrUnknownPeer
	delay := settlementRetryDelay
	for attempt := range settlementAttempts {
		if attempt > 0 {
			time.Sleep(delay)
			delay *= 2
		}
		address, known := c.Members.VMAddress(vm)
		if !known {
			break
		}
		if err = c.Post(address, SettlePath, batch, nil); err == nil {
			return
		}
	}
	var runs []string
	for _, s := range batch[:min(len(batch), maxLoggedUnsettledIDs)] {
		runs = append(runs, s.Request)
	}
	c.Log.Warn("loans not settled at their lender", zap.String("VM", vm), zap.Int("Loans", len(batch)), zap.Strings("Runs", runs), logfile.Error(err))
}
