package router

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/pkg/bill"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// bills carries out the actions of the ledger of keyed requests.
type bills struct {
	r *Router

	mu     sync.Mutex
	ledger bill.Ledger // Guarded by mu.

	decisions decision.Waiters[bill.Action] // By request.
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

// report sends a bill to the home of its key among all VMs of the settings, which is the same on both sides of a network partition.
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
	b.r.background(func() { b.r.peers.sendBill(home, billed) })
}
