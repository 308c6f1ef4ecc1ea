package caller

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/pkg/fleet"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

// ErrNoEntry reports that none of the known addresses answered.
var ErrNoEntry = errors.New("no router answered")

// Defaults of a Client.
const (
	DefaultTries   = 5
	DefaultTimeout = 5 * time.Minute // For one try.
	entryTimeout   = 2 * time.Second
	redialPause    = 200 * time.Millisecond
)

// Client calls a fleet; it is not safe for concurrent use.
type Client struct {
	Seeds  []string // Addresses that are asked first, host and port.
	APIKey string
	Tries  int // Sends of one request; zero takes DefaultTries.

	http      *fasthttp.Client
	entries   []fleet.Entry
	keepUntil time.Time
}

// Request is one call.
type Request struct {
	Path           string
	Body           []byte
	IdempotencyKey string // Empty takes a fresh one, which all tries share.
}

// Answer is what the fleet answered in the end.
type Answer struct {
	Status int
	Body   []byte
	Tries  int
	VM     string
}

func (c *Client) client() *fasthttp.Client {
	if c.http == nil {
		c.http = &fasthttp.Client{
			StreamResponseBody:        true,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			ReadTimeout:               DefaultTimeout,
			WriteTimeout:              DefaultTimeout,
		}
	}
	return c.http
}

// Entries returns the addresses to use now; it asks the fleet when the kept answer has run out.
func (c *Client) Entries(now time.Time) ([]fleet.Entry, error) {
	if now.Before(c.keepUntil) && len(c.entries) > 0 {
		return c.entries, nil
	}
	for _, address := range c.askable() {
		status, body, err := c.client().GetTimeout(nil, "http://"+address+"/Entries", entryTimeout)
		if err != nil || status != fasthttp.StatusOK {
			continue
		}
		var list fleet.EntryList
		if err := json.Unmarshal(body, &list); err != nil || len(list.Entries) == 0 {
			continue
		}
		c.entries = list.Entries
		c.keepUntil = now.Add(time.Duration(list.KeepSeconds) * time.Second)
		return c.entries, nil
	}
	return nil, ErrNoEntry
}

// askable returns the addresses that may know the entry list.
func (c *Client) askable() []string {
	var addresses []string
	for _, e := range c.entries {
		addresses = append(addresses, e.Address)
	}
	return append(addresses, c.Seeds...)
}

// Do sends a request until it is answered, refused for good, or tried often enough; out receives a streamed answer as it comes.
func (c *Client) Do(ctx context.Context, r Request, out io.Writer) (Answer, error) {
	if r.IdempotencyKey == "" {
		r.IdempotencyKey = uuid.NewString()
	}
	tries := c.Tries
	if tries <= 0 {
		tries = DefaultTries
	}
	var last error
	for try := range tries {
		entries, err := c.Entries(time.Now())
		if err != nil {
			return Answer{}, err
		}
		entry := entries[try%len(entries)]
		answer, wait, err := c.once(entry, r, out)
		answer.Tries = try + 1
		if err == nil || wait <= 0 {
			return answer, err
		}
		last = err
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return answer, ctx.Err()
		}
	}
	return Answer{Tries: tries}, last
}

// once sends the request to one address; wait is positive when coming back can help.
func (c *Client) once(entry fleet.Entry, r Request, out io.Writer) (answer Answer, wait time.Duration, err error) {
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
		c.keepUntil = time.Time{}
		return Answer{VM: entry.VM}, redialPause, errors.Wrapf(err, "calling %s", entry.VM)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	answer = Answer{Status: resp.StatusCode(), VM: entry.VM}
	if answer.Status >= fasthttp.StatusBadRequest {
		return answer, retryAfter(resp), readRefusal(resp)
	}
	answer.Body, err = io.ReadAll(io.TeeReader(resp.BodyStream(), out))
	if err != nil {
		return answer, redialPause, errors.Wrapf(err, "reading the answer of %s", entry.VM)
	}
	return answer, 0, nil
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
