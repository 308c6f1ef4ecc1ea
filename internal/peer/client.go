package peer

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/membership"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// ErrNotAPeer tells that no live router has the name that was asked for.
var ErrNotAPeer = errors.New("no live router has this name")

// Client calls the other routers; its exported fields are set before the first call.
type Client struct {
	Members    *membership.Members
	Endpoints  *placement.Endpoints // Hear of suspects that are acquitted.
	Key        func() string        // The key that the routers share; nil sends none.
	Log        *zap.Logger
	Background func(func()) // Runs a call that nobody waits for.

	timeout time.Duration
	http    *fasthttp.Client

	mu       sync.Mutex
	suspects []suspectMessage     // Not yet told; guarded by mu.
	silentAt map[string]time.Time // When a router last did not answer a loan, by address; guarded by mu.
}

// NewClient returns a client whose calls take at most timeout each.
func NewClient(timeout time.Duration) *Client {
	const maxConns = 64
	return &Client{timeout: timeout, http: keyvalue.NewHTTPClient(timeout, maxConns)}
}

// Post sends v to a path of the router at address and decodes the answer into out unless that is nil.
func (c *Client) Post(address, path string, v, out any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encoding a peer message")
	}
	answer, err := c.do(fasthttp.MethodPost, address, path, body, c.timeout)
	if err != nil || out == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(answer, out), "decoding a peer's answer")
}

// Get reads what stands at a path of the router at address.
func (c *Client) Get(address, path string) ([]byte, error) {
	return c.do(fasthttp.MethodGet, address, path, nil, c.timeout)
}

func (c *Client) do(method, address, path string, body []byte, timeout time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if c.Key != nil {
		req.Header.Set(KeyHeader, c.Key())
	}
	req.SetBody(body)
	err := c.http.DoTimeout(req, resp, timeout)
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		// A kept connection of a router that started again; every message may be repeated.
		err = c.http.DoTimeout(req, resp, timeout)
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
func (c *Client) ask(peer, path string, v any) (bool, error) {
	address, ok := c.Members.Address(peer)
	if !ok {
		return false, ErrNotAPeer
	}
	var answer verdict
	err := c.Post(address, path, v, &answer)
	return err == nil && answer.Granted, err
}

// Probe tells the router at address what is known of the members and returns what it knows.
func (c *Client) Probe(address string, updates []fleet.Member) ([]fleet.Member, error) {
	var answer []fleet.Member
	return answer, c.Post(address, ProbePath, updates, &answer)
}

// Recall asks a router to return its unused tokens of a budget.
func (c *Client) Recall(peer, name string) error {
	_, err := c.ask(peer, RecallPath, recallMessage{name})
	return err
}

// Raise asks a witness to acknowledge a ceiling.
func (c *Client) Raise(action budget.Raise) (bool, error) {
	return c.ask(action.Witness, RaisePath, raiseMessage{c.Self(), action})
}

// Entrust asks a router to close an account whose holder stops.
func (c *Client) Entrust(peer string, left budget.OrphanedAccount) error {
	_, err := c.ask(peer, EntrustPath, left)
	return err
}

// Self returns this router's incarnation.
func (c *Client) Self() string { return c.Members.Self().Name() }

// homesEach is the number of routers that hold grants of a budget ready; each writes its record, and a second one goes on when the first fails.
const homesEach = 2

// Homes returns the incarnations that hold grants of a budget ready.
func (c *Client) Homes(name string) []string { return c.Members.Homes(name, homesEach) }

// IsHome reports whether this router is a home of a budget.
func (c *Client) IsHome(name string) bool { return slices.Contains(c.Homes(name), c.Self()) }

// Times of a loan.
const (
	reserveTimeout = 300 * time.Millisecond // A request waits for it; a lender answers sooner.
	silentFor      = time.Second            // For which a router that did not answer is not asked again.
)

// Reserve asks a router to set tokens aside for a request of this one.
func (c *Client) Reserve(peer string, loan ledger.Loan) (ledger.LoanReply, error) {
	var answer ledger.LoanReply
	address, ok := c.Members.Address(peer)
	if !ok {
		return answer, ErrNotAPeer
	}
	now := time.Now()
	if c.silent(now, address) {
		return answer, errSilent
	}
	body, err := json.Marshal(loan)
	if err != nil {
		return answer, errors.Wrap(err, "encoding a loan")
	}
	text, err := c.do(fasthttp.MethodPost, address, ReservePath, body, reserveTimeout)
	if err != nil {
		c.noteSilent(now, address)
		return answer, err
	}
	return answer, errors.Wrap(json.Unmarshal(text, &answer), "decoding a loan's answer")
}

// errSilent tells that a router is not asked because it did not answer a moment ago.
var errSilent = errors.New("the router did not answer a moment ago")

func (c *Client) silent(now time.Time, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.silentAt[address]) < silentFor
}

func (c *Client) noteSilent(now time.Time, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silentAt == nil {
		c.silentAt = map[string]time.Time{}
	}
	c.silentAt[address] = now
}

// Settle tells a lender what a request used; it is tried a few times, since a lost one bills the request in full.
func (c *Client) Settle(peer string, s ledger.Settlement) {
	const tries = 3
	var err error
	for range tries {
		if _, err = c.ask(peer, SettlePath, s); err == nil {
			return
		}
	}
	c.Log.Warn("loan not settled at its lender", zap.String("Run", s.Request), zap.String("Peer", peer), logfile.Problem(err))
}

// suspectsEvery is the pause between two messages about suspicions, which many broken attempts at once share.
const suspectsEvery = 100 * time.Millisecond

// TellSuspect spreads a suspicion to the other routers soon.
func (c *Client) TellSuspect(s endpoint.Suspicion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects = append(c.suspects, suspectMessage{s.Fingerprint, s.Deaths, time.Until(s.Until).Milliseconds()})
	if len(c.suspects) == 1 {
		time.AfterFunc(suspectsEvery, c.sendSuspects)
	}
}

func (c *Client) sendSuspects() {
	c.mu.Lock()
	message := c.suspects
	c.suspects = nil
	c.mu.Unlock()
	for _, m := range c.Members.Peers() {
		c.Background(func() {
			var answer acquittal
			if err := c.Post(m.Address, SuspectPath, message, &answer); err != nil {
				c.Log.Warn("suspicions not told", zap.String("Peer", m.Name()), logfile.Problem(err))
			}
			for _, f := range answer.Sound {
				c.Endpoints.Handle(time.Now(), endpoint.SuspectCleared{Fingerprint: f})
			}
		})
	}
}
