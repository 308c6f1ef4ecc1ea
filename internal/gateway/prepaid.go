package gateway

import (
	"time"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// prepay tells the holder the totals that a configuration gives for the budgets that it knows.
func (g *Gateway) prepay(now time.Time, accounts []route.Account) {
	for _, a := range accounts {
		if _, known := g.budgets.View(a.Name); a.Limited && known {
			g.budgets.Handle(now, budget.Prepaid{Budget: a.Name, Tokens: a.Prepaid})
		}
	}
}

// drawAfter is the least time after the start in which the routers learn of each other.
const drawAfter = 2 * time.Second

// drawFirst draws a first grant of the budgets whose home this router is, before there is demand.
//
// Until the routers know each other, each one would take itself for the home of too many budgets.
func (g *Gateway) drawFirst(now time.Time) {
	t := g.table.Load()
	if g.drawn || t == nil || now.Sub(g.started) < drawAfter || !g.members.settled(now) {
		return
	}
	g.drawn = true
	for _, a := range t.Accounts {
		if a.Limited && g.peers.IsHome(a.Name) {
			g.budgets.Handle(now, budget.Prepaid{Budget: a.Name, Tokens: a.Prepaid, Draw: true})
		}
	}
}
