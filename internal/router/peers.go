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

// Paths between routers beside those of the package peer.
const (
	billPath    = "/Peer/Bill"
	headPath    = "/Peer/Head"
	subtreePath = "/Peer/Subtree"
)

// peers calls the other routers.
type peers struct {
	*peer.Client

	r *Router
}

// tellBill brings a bill to a key's home; it is tried a few times, since a lost one leaves a double bill unseen.
func (p *peers) tellBill(vm string, billed bill.Billed) {
	const tries = 5
	home, ok := p.r.snapshot().tree.Fleet.VM(vm)
	for i := range tries {
		if !ok || p.Post(home.Address, billPath, billed, nil) == nil {
			return
		}
		decision.Pause(time.Second<<i, p.r.stop)
	}
}

// Head returns the head in force at an address when its revision is above after.
func (p *peers) Head(address string, after uint64) ([]byte, error) {
	return p.Get(address, fmt.Sprintf("%s?After=%d", headPath, after))
}

// Subtree returns a path's content if it is in force at an address with the given version.
func (p *peers) Subtree(address, path string, v settings.Version) ([]byte, error) {
	query := url.Values{"Path": {path}, "Revision": {fmt.Sprint(v.Revision)}, "Change": {v.Change}}
	return p.Get(address, subtreePath+"?"+query.Encode())
}
