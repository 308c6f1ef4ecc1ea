package caller

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/head"
	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// ErrNoEntry reports that no known address returned a list of entry addresses.
var ErrNoEntry = errors.New("no router answered")

// Defaults of a Client.
const (
	DefaultMaxAttempts = 5
	DefaultTimeout     = 5 * time.Minute // For writing a request and for reading its response.
	entriesTimeout     = 2 * time.Second
	reconnectDelay     = 200 * time.Millisecond
)

// Client sends requests to a fleet. It is not safe for concurrent use.
type Client struct {
	Seeds       []string // Addresses, as host and port, from which the entry list is fetched if no known entry returns it.
	APIKey      string
	MaxAttempts int // Maximum number of attempts for one request; 0 means DefaultMaxAttempts.

	http            *fasthttp.Client
	entries         []fleet.Entry
	entriesExpireAt time.Time
}

// Request is one request to the fleet.
type Request struct {
	Path           string
	Body           []byte
	IdempotencyKey string // Shared by all attempts; if empty, Do generates one.
}

// Response is the result of a request.
//
// If every attempt failed and another one could have helped, only Attempts is set.
type Response struct {
	Status   int    // HTTP status of the last attempt.
	Body     []byte // Empty for a refusal.
	Attempts int    // Number of attempts made.
	VM       string // VM of the router to which the last attempt was sent.
}

func (c *Client) client() *fasthttp.Client {
	if c.http == nil {
		c.http = &fasthttp.Client{
			StreamResponseBody:        true,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			ReadTimeout:               DefaultTimeout,
			WriteTimeout:              DefaultTimeout,
			Dial: func(address string) (net.Conn, error) {
				conn, err := fasthttp.Dial(address)
				if err != nil {
					return nil, err
				}
				return &head.Conn{Conn: conn}, nil
			},
		}
	}
	return c.http
}

// Entries returns the entry addresses to use at time now. It fetches the list if none is cached or the cached one expired,
// and returns the expired one if that fails.
func (c *Client) Entries(now time.Time) ([]fleet.Entry, error) {
	if now.Before(c.entriesExpireAt) && len(c.entries) > 0 {
		return c.entries, nil
	}
	for _, address := range c.entryListSources() {
		status, body, err := c.client().GetTimeout(nil, "http://"+address+"/Entries", entriesTimeout)
		if err != nil || status != fasthttp.StatusOK {
			continue
		}
		var list fleet.EntryList
		if err := json.Unmarshal(body, &list); err != nil || len(list.Entries) == 0 {
			continue
		}
		c.entries = list.Entries
		c.entriesExpireAt = now.Add(time.Duration(list.KeepSeconds) * time.Second)
		return c.entries, nil
	}
	if len(c.entries) > 0 {
		return c.entries, nil
	}
	return nil, ErrNoEntry
}

// entryListSources returns the addresses to fetch the entry list from: the last known entries, then the seeds.
func (c *Client) entryListSources() []string {
	var addresses []string
	for _, e := range c.entries {
		addresses = append(addresses, e.Address)
	}
	return append(addresses, c.Seeds...)
}

// Do sends a request, with retries, until it succeeds, fails in a way that a retry cannot help, or has used up its attempts.
//
// The body of a successful response is also copied to out while it arrives. If
// the connection breaks within the body, the next attempt appends its own body to
// the part that out already has.
func (c *Client) Do(ctx context.Context, r Request, out io.Writer) (Response, error) {
	if r.IdempotencyKey == "" {
		r.IdempotencyKey = uuid.NewString()
	}
	maxAttempts := c.MaxAttempts
	if maxAttempts <= 0 {
		maxAttempts = DefaultMaxAttempts
	}
	var lastErr error
	for attempt := range maxAttempts {
		entries, err := c.Entries(time.Now())
		if err != nil {
			return Response{}, err
		}
		entry := entries[attempt%len(entries)]
		response, delay, err := c.send(entry, r, out)
		response.Attempts = attempt + 1
		if err == nil || delay <= 0 {
			return response, err
		}
		lastErr = err
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return response, ctx.Err()
		}
	}
	return Response{Attempts: maxAttempts}, lastErr
}

// send makes one attempt at one entry address; delay is the time before the next attempt, or 0 if a retry cannot help.
func (c *Client) send(entry fleet.Entry, r Request, out io.Writer) (response Response, delay time.Duration, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + entry.Address + r.Path)
	req.Header.SetContentType("application/json")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.APIKey)
	req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	req.SetBody(r.Body)
	if err := c.client().Do(req, resp); err != nil {
		c.entriesExpireAt = time.Time{}
		return Response{VM: entry.VM}, reconnectDelay, errors.Wrapf(err, "calling %s", entry.VM)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	response = Response{Status: resp.StatusCode(), VM: entry.VM}
	if response.Status >= fasthttp.StatusBadRequest {
		return response, retryAfter(resp), readRefusal(resp)
	}
	response.Body, err = io.ReadAll(io.TeeReader(resp.BodyStream(), out))
	if err != nil {
		return response, reconnectDelay, errors.Wrapf(err, "reading the response of %s", entry.VM)
	}
	return response, 0, nil
}

func retryAfter(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func readRefusal(resp *fasthttp.Response) error {
	body, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		return errors.Wrap(err, "reading a refusal")
	}
	return refusal.Parse(body)
}
