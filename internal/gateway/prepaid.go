package gateway

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// updatePrepaid passes the prepaid totals of a configuration to the budgets that this router already tracks.
func (g *Gateway) updatePrepaid(now time.Time, accounts []route.Account) {
	for _, a := range accounts {
		if _, known := g.budgets.View(a.Name); a.Limited && known {
			g.budgets.Handle(now, budget.PrepaidTotal{Budget: a.Name, Tokens: a.Prepaid})
		}
	}
}

// initialGrantDelay is the minimum time after the start that routers need to discover each other.
const initialGrantDelay = settlePeriod + 2*time.Second

// drawInitialGrants draws a grant from each budget whose home is this router, before there is demand.
//
// It waits until the routers have discovered each other, because before that each router would
// consider itself the home of too many budgets.
func (g *Gateway) drawInitialGrants(now time.Time) {
	t := g.table.Load()
	if g.initialGrantsDrawn || t == nil || now.Sub(g.started) < initialGrantDelay || !g.members.stable(now) {
		return
	}
	g.initialGrantsDrawn = true
	for _, a := range t.Accounts {
		if a.Limited && g.peers.IsHome(a.Name) {
			g.budgets.Handle(now, budget.PrepaidTotal{Budget: a.Name, Tokens: a.Prepaid, InitialGrant: true})
		}
	}
}
