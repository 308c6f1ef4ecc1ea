package gateway

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/strict"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// Paths between routers.
const (
	probePath         = "/Peer/Probe"
	recallPath        = "/Peer/Recall"
	raisePath         = "/Peer/Raise"
	entrustPath       = "/Peer/Entrust"
	reservePath       = "/Peer/Reserve"
	settlePath        = "/Peer/Settle"
	suspectPath       = "/Peer/Suspect"
	configurationPath = "/Peer/Configuration"
)

// peerTimeout bounds a call to a peer.
const peerTimeout = 800 * time.Millisecond

var errNotAPeer = errors.New("no live router has this name")

// reserveMessage asks a router to set tokens aside for a request that the sender runs.
type reserveMessage struct {
	Request          string
	Budget           string
	Prepaid          int64 // As the sender's configuration says.
	Tokens           int64
	KeepMilliseconds int64 // After this time the tokens count as spent.
}

// settleMessage tells what such a request used.
type settleMessage struct {
	Request string
	Tokens  int64
}

type recallMessage struct{ Budget string }

type raiseMessage struct {
	Holder string
	Raise  budget.Raise
}

// suspectMessage spreads a suspicion; its age replaces a time, since clocks differ.
type suspectMessage struct {
	Fingerprint      uint64
	Deaths           int
	KeepMilliseconds int64
}

// verdict is a yes or a no.
type verdict struct{ Granted bool }

// peers calls the other routers.
type peers struct {
	g     *Gateway
	http  *fasthttp.Client
	loans loans

	mu       sync.Mutex
	suspects []suspectMessage // Not yet told; guarded by mu.
}

func newPeers(g *Gateway) *peers {
	const maxConns = 64
	return &peers{g: g, http: keyvalue.NewHTTPClient(peerTimeout, maxConns)}
}

// post sends v to a path of the router at address and decodes the answer into out unless that is nil.
func (p *peers) post(address, path string, v, out any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encoding a peer message")
	}
	answer, err := p.do(address, path, body)
	if err != nil || out == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(answer, out), "decoding a peer's answer")
}

func (p *peers) do(address, path string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.SetBody(body)
	err := p.http.DoTimeout(req, resp, peerTimeout)
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		// A kept connection of a router that started again; every message may be repeated.
		err = p.http.DoTimeout(req, resp, peerTimeout)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "calling the router at %s", address)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, errors.Newf("the router at %s answered with status %d", address, status)
	}
	return append([]byte(nil), resp.Body()...), nil
}

// ask sends a question to a router incarnation and returns its verdict.
func (p *peers) ask(peer, path string, v any) (bool, error) {
	address, ok := p.g.members.Address(peer)
	if !ok {
		return false, errNotAPeer
	}
	var answer verdict
	err := p.post(address, path, v, &answer)
	return err == nil && answer.Granted, err
}

func (p *peers) probe(address string, updates []fleet.Member) ([]fleet.Member, error) {
	var answer []fleet.Member
	return answer, p.post(address, probePath, updates, &answer)
}

// Recall asks a router to return its unused tokens of a budget.
func (p *peers) Recall(peer, name string) error {
	_, err := p.ask(peer, recallPath, recallMessage{name})
	return err
}

// Raise asks a witness to acknowledge a ceiling.
func (p *peers) Raise(action budget.Raise) (bool, error) {
	return p.ask(action.Witness, raisePath, raiseMessage{p.g.members.name, action})
}

// Entrust asks a router to close an account whose holder stops.
func (p *peers) Entrust(peer string, left budget.LeftBehind) error {
	_, err := p.ask(peer, entrustPath, left)
	return err
}

func (p *peers) reserve(peer string, m reserveMessage) (bool, error) {
	return p.ask(peer, reservePath, m)
}

// settle tells a lender what a request used; it is tried a few times, since a lost one bills the request in full.
func (p *peers) settle(peer string, m settleMessage) {
	const tries = 3
	var err error
	for range tries {
		if _, err = p.ask(peer, settlePath, m); err == nil {
			return
		}
	}
	p.g.log.Warn("loan not settled at its lender", zap.String("Run", m.Request), zap.String("Peer", peer), logfile.Problem(err))
}

func (p *peers) configuration(address string) ([]byte, error) {
	return p.do(address, configurationPath, nil)
}

// suspectsEvery is the pause between two messages about suspicions, which many broken attempts at once share.
const suspectsEvery = 100 * time.Millisecond

// tellSuspect spreads a suspicion to the other routers soon.
func (p *peers) tellSuspect(s endpoint.Suspicion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspects = append(p.suspects, suspectMessage{s.Fingerprint, s.Deaths, time.Until(s.Until).Milliseconds()})
	if len(p.suspects) == 1 {
		time.AfterFunc(suspectsEvery, p.sendSuspects)
	}
}

func (p *peers) sendSuspects() {
	p.mu.Lock()
	message := p.suspects
	p.suspects = nil
	p.mu.Unlock()
	for _, m := range p.g.members.Peers() {
		p.g.background(func() {
			if err := p.post(m.Address, suspectPath, message, nil); err != nil {
				p.g.log.Warn("suspicions not told", zap.String("Peer", m.Name()), logfile.Problem(err))
			}
		})
	}
}

// hearSuspects takes a peer's suspicions over.
func (g *Gateway) hearSuspects(now time.Time, messages []suspectMessage) {
	for _, m := range messages {
		until := now.Add(time.Duration(m.KeepMilliseconds) * time.Millisecond)
		g.endpoints.handle(now, endpoint.SuspectHeard{Suspect: endpoint.Suspicion{Fingerprint: m.Fingerprint, Deaths: m.Deaths, Until: until}})
	}
}

// servePeer answers another router.
func (g *Gateway) servePeer(ctx *fasthttp.RequestCtx) {
	answer, err := g.answerPeer(string(ctx.Path()), ctx.PostBody())
	if err != nil {
		g.log.Warn("peer message not read", zap.ByteString("Path", ctx.Path()), logfile.Problem(err))
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	ctx.SetBody(answer)
}

func (g *Gateway) answerPeer(path string, body []byte) ([]byte, error) {
	switch path {
	case probePath:
		return answerTo(body, func(updates []fleet.Member) any { return g.members.answer(updates) })
	case recallPath:
		return answerTo(body, func(m recallMessage) any {
			g.budgets.AnswerRecall(m.Budget)
			return verdict{true}
		})
	case raisePath:
		return answerTo(body, func(m raiseMessage) any {
			return verdict{m.Raise.Witness == g.members.name && g.budgets.AnswerRaise(m.Holder, m.Raise)}
		})
	case entrustPath:
		return answerTo(body, func(left budget.LeftBehind) any {
			g.budgets.Handle(time.Now(), left)
			return verdict{true}
		})
	case reservePath:
		return answerTo(body, func(m reserveMessage) any { return verdict{g.peers.loans.has(m.Request) || g.lend(m)} })
	case settlePath:
		return answerTo(body, func(m settleMessage) any {
			if g.peers.loans.end(m.Request) {
				g.budgets.Handle(time.Now(), budget.Settle{Request: m.Request, Tokens: m.Tokens})
			}
			return verdict{true}
		})
	case suspectPath:
		return answerTo(body, func(messages []suspectMessage) any {
			g.hearSuspects(time.Now(), messages)
			return verdict{true}
		})
	case configurationPath:
		return g.members.configuration()
	}
	return nil, errors.Newf("unknown path %q", path)
}

// answerTo decodes a message, hands it to f and encodes what f returns.
func answerTo[M any](body []byte, f func(M) any) ([]byte, error) {
	var m M
	if err := strict.Decode(body, &m); err != nil {
		return nil, err
	}
	return json.Marshal(f(m))
}

// configuration returns the configuration in force as it stands in the store.
func (m *members) configuration() ([]byte, error) {
	m.configMu.Lock()
	defer m.configMu.Unlock()
	if m.config == nil {
		return nil, errors.New("no configuration is known")
	}
	return m.config, nil
}
