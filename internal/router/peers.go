package router

import (
	"fmt"
	"net/url"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/peer"
	"github.com/foxtaillanding/foxtaillanding/pkg/bill"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// Paths of messages between routers, besides those of package peer.
const (
	billPath    = "/Peer/Bill"
	headPath    = "/Peer/Head"
	subtreePath = "/Peer/Subtree"
)

// peers sends messages to the other routers.
type peers struct {
	*peer.Client

	r *Router
}

// sendBill sends a bill to the home of its key. It retries a few times, since a double bill goes undetected if one of the two is lost.
func (p *peers) sendBill(vm string, billed bill.Billed) {
	const tries = 5
	home, ok := p.r.snapshot().tree.Fleet.VM(vm)
	for i := range tries {
		if !ok || p.Post(home.Address, billPath, billed, nil) == nil {
			return
		}
		decision.Pause(time.Second<<i, p.r.stop)
	}
}

// Head returns the settings head in force at the router at address, or nothing if its revision is not above after.
func (p *peers) Head(address string, after uint64) ([]byte, error) {
	return p.Get(address, fmt.Sprintf("%s?After=%d", headPath, after))
}

// Subtree returns the settings at path if the given version is in force at the router at address.
func (p *peers) Subtree(address, path string, v settings.Version) ([]byte, error) {
	query := url.Values{"Path": {path}, "Revision": {fmt.Sprint(v.Revision)}, "Change": {v.Change}}
	return p.Get(address, subtreePath+"?"+query.Encode())
}
