package router

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/pkg/bill"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// bills carries out what the ledger of keyed requests decides.
type bills struct {
	r *Router

	mu     sync.Mutex
	ledger bill.Ledger // Guarded by mu.

	decisions decision.Waiters[bill.Action]
}

func (b *bills) handle(now time.Time, ev bill.Event) {
	for _, action := range decision.Apply(&b.mu, b.ledger.Handle, now, ev) {
		switch action := action.(type) {
		case bill.Start:
			b.decisions.Send(action.Request, action)
		case bill.Replay:
			b.decisions.Send(action.Request, action)
		case bill.Refuse:
			b.decisions.Send(action.Request, action)
		case bill.Refund:
			b.r.log.Info("refunded", zap.String("Budget", action.Budget), zap.Int64("Tokens", action.Tokens))
			b.r.budgets.Handle(now, budget.Refund{Budget: action.Budget, Tokens: action.Tokens})
		}
	}
}

// report brings a bill to the key's home by the settings, which stays the same through partitions.
func (b *bills) report(billed bill.Billed) {
	vms := make([]string, 0, len(b.r.snapshot().tree.Fleet.VMs))
	for _, vm := range b.r.snapshot().tree.Fleet.VMs {
		vms = append(vms, vm.Name)
	}
	home := bill.Home(billed.Key, vms)
	if home == b.r.cfg.VM {
		b.handle(time.Now(), billed)
		return
	}
	b.r.background(func() { b.r.peers.tellBill(home, billed) })
}
