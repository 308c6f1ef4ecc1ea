package router

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/decision"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/pkg/bill"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// Paths and headers between routers.
const (
	probePath   = "/Peer/Probe"
	recallPath  = "/Peer/Recall"
	raisePath   = "/Peer/Raise"
	entrustPath = "/Peer/Entrust"
	suspectPath = "/Peer/Suspect"
	billPath    = "/Peer/Bill"
	headPath    = "/Peer/Head"
	subtreePath = "/Peer/Subtree"

	headerPeerKey = "X-Peer-Key"
	headerStage   = "X-Forward-Stage"
	headerAccount = "X-Account"
	headerWait    = "X-Wait-Milliseconds"
)

var errNotAPeer = errors.New("no live router has this name")

// peers calls the other routers.
type peers struct {
	r    *Router
	http *fasthttp.Client
}

func newPeers(r *Router) *peers {
	const maxConns = 256
	return &peers{r: r, http: keyvalue.NewHTTPClient(peerTimeout, maxConns)}
}

// post sends v to a path of the router at address and decodes the answer into out unless that is nil.
func (p *peers) post(address, path string, v, out any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encoding a peer message")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := p.do(address, path, req, resp); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), out), "decoding a peer's answer")
}

func (p *peers) get(address, path string) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := p.do(address, path, req, resp); err != nil {
		return nil, err
	}
	return append([]byte(nil), resp.Body()...), nil
}

func (p *peers) do(address, path string, req *fasthttp.Request, resp *fasthttp.Response) error {
	req.SetRequestURI("http://" + address + path)
	req.Header.Set(headerPeerKey, p.r.snapshot().tree.Fleet.PeerKey)
	if err := p.http.DoTimeout(req, resp, peerTimeout); err != nil {
		return errors.Wrapf(err, "calling the router at %s", address)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return errors.Newf("the router at %s answered with status %d", address, status)
	}
	return nil
}

func (p *peers) probe(address string, updates []fleet.Member) ([]fleet.Member, error) {
	var answer []fleet.Member
	return answer, p.post(address, probePath, updates, &answer)
}

// recallMessage asks a router to return its unused tokens of a budget.
type recallMessage struct{ Budget string }

// Recall asks a router to return its unused tokens of a budget.
func (p *peers) Recall(peer, name string) error {
	address, ok := p.r.members.Address(peer)
	if !ok {
		return errNotAPeer
	}
	return p.post(address, recallPath, recallMessage{name}, nil)
}

// raiseMessage asks a witness to acknowledge a ceiling; the answer is a raiseAnswer.
type raiseMessage struct {
	Witness string // The incarnation that is asked; another one must not answer for it.
	Budget  string
	Holder  string
	Seals   uint64
	Ceiling int64
	Spent   int64
}

func (m raiseMessage) raise() budget.Raise {
	return budget.Raise{Budget: m.Budget, Witness: m.Witness, Seals: m.Seals, Ceiling: m.Ceiling, Spent: m.Spent}
}

type raiseAnswer struct{ Acknowledged bool }

// Raise asks a witness to acknowledge a ceiling.
func (p *peers) Raise(action budget.Raise) (bool, error) {
	address, ok := p.r.members.Address(action.Witness)
	if !ok {
		return false, errNotAPeer
	}
	message := raiseMessage{action.Witness, action.Budget, p.r.members.Self().Name(), action.Seals, action.Ceiling, action.Spent}
	var answer raiseAnswer
	err := p.post(address, raisePath, message, &answer)
	return err == nil && answer.Acknowledged, err
}

// Entrust asks a router to close an account whose holder stops.
func (p *peers) Entrust(peer string, left budget.LeftBehind) error {
	address, ok := p.r.members.Address(peer)
	if !ok {
		return errNotAPeer
	}
	return p.post(address, entrustPath, left, nil)
}

// suspectMessage spreads a suspicion; its age replaces a time, since clocks differ.
type suspectMessage struct {
	Fingerprint      uint64
	Deaths           int
	KeepMilliseconds int64
}

func (p *peers) tellSuspect(s endpoint.Suspicion) {
	message := suspectMessage{s.Fingerprint, s.Deaths, time.Until(s.Until).Milliseconds()}
	for _, m := range p.r.members.Peers() {
		p.r.background(func() { _ = p.post(m.Address, suspectPath, message, nil) })
	}
}

// tellBill brings a bill to a key's home; it is tried a few times, since a lost one leaves a double bill unseen.
func (p *peers) tellBill(vm string, billed bill.Billed) {
	const tries = 5
	home, ok := p.r.snapshot().tree.Fleet.VM(vm)
	for i := range tries {
		if !ok || p.post(home.Address, billPath, billed, nil) == nil {
			return
		}
		decision.Pause(time.Second<<i, p.r.stop)
	}
}

func (p *peers) head(address string, after uint64) ([]byte, error) {
	return p.get(address, fmt.Sprintf("%s?After=%d", headPath, after))
}

func (p *peers) subtree(address, path string, v settings.Version) ([]byte, error) {
	query := url.Values{"Path": {path}, "Revision": {fmt.Sprint(v.Revision)}, "Change": {v.Change}}
	return p.get(address, subtreePath+"?"+query.Encode())
}
