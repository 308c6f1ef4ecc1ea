package peer

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/feed"
	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/membership"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
)

// ErrUnknownPeer reports that no live router has the given incarnation name.
var ErrUnknownPeer = errors.New("no live router has this incarnation name")

// errRejected reports that a router could not read a message.
var errRejected = errors.New("the router did not read the message")

// Client calls the other routers. Its exported fields are set before the first call.
type Client struct {
	Members     *membership.Members
	Endpoints   *placement.Endpoints // Clears the suspects whose requests have finished at a peer.
	Evacuations Evacuations          // Nil if evacuations are off.
	Key         func() string        // Returns the shared key of the routers; if nil, no key is sent.
	Log         *zap.Logger
	Background  func(func()) // Runs a call asynchronously.

	timeout time.Duration
	http    *fasthttp.Client
	feeds   *fasthttp.Client // For queries that wait for changes.

	mu         sync.Mutex
	suspicions []suspectMessage     // Waiting to be sent; guarded by mu.
	failedAt   map[string]time.Time // Start of the last loan call that failed, by address; guarded by mu.

	settlements    settlements
	knownRevisions knownRevisions
}

// NewClient returns a client whose HTTP requests time out after timeout, those of loans after reserveTimeout.
func NewClient(timeout time.Duration) *Client {
	const maxConns = 64
	return &Client{
		timeout: timeout,
		http:    keyvalue.NewHTTPClient(timeout, maxConns),
		feeds:   keyvalue.NewHTTPClient(feed.PollTimeout, maxConns),
	}
}

// Post sends v to a path of the router at address and decodes the answer into out, unless out is nil.
func (c *Client) Post(address, path string, v, out any) error {
	return c.postWithin(c.timeout, address, path, v, out)
}

// postWithin is like Post but with a timeout of its own.
func (c *Client) postWithin(timeout time.Duration, address, path string, v, out any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encoding a peer message")
	}
	answer, err := c.do(c.http, fasthttp.MethodPost, address, path, body, timeout)
	if err != nil || out == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(answer, out), "decoding a peer's answer")
}

// Get reads a path of the router at address.
func (c *Client) Get(address, path string) ([]byte, error) {
	return c.do(c.http, fasthttp.MethodGet, address, path, nil, c.timeout)
}

func (c *Client) do(client *fasthttp.Client, method, address, path string, body []byte, timeout time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if c.Key != nil {
		req.Header.Set(KeyHeader, c.Key())
	}
	req.SetBody(body)
	err := client.DoTimeout(req, resp, timeout)
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		// The router restarted and its kept-alive connection was closed. A retry is safe because messages are idempotent.
		err = client.DoTimeout(req, resp, timeout)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "calling the router at %s", address)
	}
	if status := resp.StatusCode(); status == fasthttp.StatusBadRequest {
		return nil, errors.Wrapf(errRejected, "calling the router at %s", address)
	} else if status != fasthttp.StatusOK {
		return nil, errors.Newf("the router at %s answered with status %d", address, status)
	}
	return append([]byte(nil), resp.Body()...), nil
}

// call sends a message to a router incarnation and returns whether its reply is positive.
func (c *Client) call(peer, path string, v any) (bool, error) {
	address, ok := c.Members.Address(peer)
	if !ok {
		return false, ErrUnknownPeer
	}
	var answer reply
	err := c.Post(address, path, v, &answer)
	return err == nil && answer.Granted, err
}

// Probe sends updates about members to the router at address and returns the updates that it answers with.
//
// Both sides also exchange the suspicions of requests and of parts of prompts that they refuse, the limits of endpoints, which are
// brittle, and which data centres are evacuated.
func (c *Client) Probe(address string, updates []fleet.Member) ([]fleet.Member, error) {
	var answer probeMessage
	began := time.Now()
	message := probeMessage{
		Updates:  updates,
		Suspects: blockedSuspects(began, c.Endpoints),
		Limits:   limitMessages(began, c.Endpoints),
		Brittle:  brittleMessages(began, c.Endpoints),

		Evacuations: c.knownRevisions.message(c.Evacuations, address),
	}
	err := c.Post(address, ProbePath, message, &answer)
	c.knownRevisions.record(address, answer.Evacuations)
	if err != nil && message.Evacuations != nil {
		message.Evacuations = nil // The peer may have restarted with an earlier build since its last answer.
		err = c.retryProbe(address, message, &answer, err)
	}
	if err != nil {
		return nil, err
	}
	now := time.Now()
	adoptEvacuations(now, c.Evacuations, answer.Evacuations, senderOf(answer.Updates))
	adoptSuspects(now, c.Endpoints, answer.Suspects)
	clearSuspects(now, c.Endpoints, answer.Known)
	adoptLimits(now, c.Endpoints, answer.Limits)
	adoptBrittle(now, c.Endpoints, answer.Brittle)
	return answer.Updates, nil
}

// retryProbe sends a probe again whose first attempt failed with err, if the peer rejected the message itself.
func (c *Client) retryProbe(address string, message probeMessage, answer *probeMessage, err error) error {
	if !errors.Is(err, errRejected) {
		return err
	}
	return c.Post(address, ProbePath, message, answer)
}

// ReadFeed asks a router for the changes of a feed; the call may wait for them, within the timeout.
func (c *Client) ReadFeed(reader string, q FeedQuery, timeout time.Duration) (FeedReply, error) {
	var answer FeedReply
	address, ok := c.Members.Address(reader)
	if !ok {
		return answer, ErrUnknownPeer
	}
	body, err := json.Marshal(q)
	if err != nil {
		return answer, errors.Wrap(err, "encoding a feed query")
	}
	data, err := c.do(c.feeds, fasthttp.MethodPost, address, FeedPath, body, timeout)
	if err != nil {
		return answer, err
	}
	return answer, errors.Wrap(json.Unmarshal(data, &answer), "decoding a feed reply")
}

// Recall asks a peer to return its unused tokens of a budget.
func (c *Client) Recall(peer, name string) error {
	_, err := c.call(peer, RecallPath, recallMessage{name})
	return err
}

// Raise asks a witness to acknowledge a higher ceiling and reports whether it did.
func (c *Client) Raise(action budget.Raise) (bool, error) {
	return c.call(action.Witness, RaisePath, raiseMessage{c.Self(), action})
}

// Entrust asks a peer to close an account whose holder is stopping.
func (c *Client) Entrust(peer string, account budget.OrphanedAccount) error {
	_, err := c.call(peer, EntrustPath, account)
	return err
}

// Self returns the incarnation name of this router.
func (c *Client) Self() string { return c.Members.Self().Name() }

// homesPerBudget is the number of routers that hold grants of a budget ready.
//
// The second continues when the first fails. There are no more, because each of them writes the budget's record.
const homesPerBudget = 2

// Homes returns the names of the incarnations that hold grants of a budget ready.
func (c *Client) Homes(name string) []string { return c.Members.Homes(name, homesPerBudget) }

// IsHome reports whether this router is a home of a budget.
func (c *Client) IsHome(name string) bool { return slices.Contains(c.Homes(name), c.Self()) }

// Time limits of loan calls.
const (
	reserveTimeout = 300 * time.Millisecond // Short, because a request waits for it; lenders answer sooner.
	failureBackoff = time.Second            // Time from the start of a failed call in which the router is not called again.
)

// Reserve asks a peer to reserve tokens for a request of this router.
func (c *Client) Reserve(peer string, loan ledger.Loan) (ledger.LoanReply, error) {
	var answer ledger.LoanReply
	address, ok := c.Members.Address(peer)
	if !ok {
		return answer, errors.Wrap(ledger.ErrLoanNotSent, ErrUnknownPeer.Error())
	}
	now := time.Now()
	if c.failedRecently(now, address) {
		return answer, errors.Wrap(ledger.ErrLoanNotSent, "a recent call to the router failed")
	}
	body, err := json.Marshal(loan)
	if err != nil {
		return answer, errors.Wrap(err, "encoding a loan")
	}
	data, err := c.do(c.http, fasthttp.MethodPost, address, ReservePath, body, reserveTimeout)
	if err != nil {
		c.recordFailure(now, address)
		return answer, err
	}
	return answer, errors.Wrap(json.Unmarshal(data, &answer), "decoding a loan's answer")
}

func (c *Client) failedRecently(now time.Time, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.failedAt[address]) < failureBackoff
}

func (c *Client) recordFailure(now time.Time, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failedAt == nil {
		c.failedAt = map[string]time.Time{}
	}
	c.failedAt[address] = now
}
