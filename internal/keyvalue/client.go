package keyvalue

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
)

// Paths of the store's HTTP interface.
const (
	KeysPath  = "/Keys/"
	ListPath  = "/List"
	WatchPath = "/Watch"
)

// Client is a Store behind HTTP.
type Client struct {
	Address string        // Host and port.
	Timeout time.Duration // Longest wait for one call; a watch adds its own.

	http *fasthttp.Client
}

// NewClient returns a client of the store at address.
func NewClient(address string, timeout time.Duration) *Client {
	const maxConns = 64
	return &Client{Address: address, Timeout: timeout, http: NewHTTPClient(timeout+watchCap, maxConns)}
}

// watchCap is the longest wait that a watch may ask for.
const watchCap = 30 * time.Second

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer release(req, resp)
	req.SetRequestURI(c.url(KeysPath + url.PathEscape(key)))
	if err := c.do(ctx, req, resp, 0); err != nil {
		return Entry{Key: key}, err
	}
	return readEntry(key, resp)
}

// Watch waits for a version of key above after.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer release(req, resp)
	wait = min(wait, watchCap)
	query := fmt.Sprintf("?Key=%s&After=%d&WaitMilliseconds=%d", url.QueryEscape(key), after, wait.Milliseconds())
	req.SetRequestURI(c.url(WatchPath + query))
	if err := c.do(ctx, req, resp, wait); err != nil {
		return Entry{Key: key}, err
	}
	return readEntry(key, resp)
}

// List reads all keys that begin with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer release(req, resp)
	req.SetRequestURI(c.url(ListPath + "?Prefix=" + url.QueryEscape(prefix)))
	if err := c.do(ctx, req, resp, 0); err != nil {
		return nil, err
	}
	if err := statusError(resp.StatusCode()); err != nil {
		return nil, err
	}
	var entries []Entry
	if err := json.Unmarshal(resp.Body(), &entries); err != nil {
		return nil, errors.Wrap(err, "decoding the store's list")
	}
	return entries, nil
}

// Put writes one key on a condition; it is sent once.
func (c *Client) Put(ctx context.Context, put Put) (Written, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer release(req, resp)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetRequestURI(c.url(KeysPath + url.PathEscape(put.Key)))
	if put.IfVersion == 0 {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, "*")
	} else {
		req.Header.Set(fasthttp.HeaderIfMatch, ETag(put.IfVersion))
	}
	if put.TTL > 0 {
		req.URI().QueryArgs().Set("TTLMilliseconds", strconv.FormatInt(put.TTL.Milliseconds(), 10))
	}
	req.SetBody(put.Value)
	if err := c.do(ctx, req, resp, 0); err != nil {
		return Written{Outcome: budget.OutcomeUnknown}, err
	}
	return readWritten(resp)
}

func readWritten(resp *fasthttp.Response) (Written, error) {
	switch resp.StatusCode() {
	case fasthttp.StatusOK, fasthttp.StatusCreated:
		version, err := ParseETag(string(resp.Header.Peek(fasthttp.HeaderETag)))
		if err != nil {
			return Written{Outcome: budget.OutcomeUnknown}, err
		}
		return Written{Outcome: budget.TookEffect, Version: version}, nil
	case fasthttp.StatusPreconditionFailed:
		return Written{Outcome: budget.NoEffect}, nil
	case fasthttp.StatusTooManyRequests, fasthttp.StatusRequestEntityTooLarge:
		return Written{Outcome: budget.NoEffect}, statusError(resp.StatusCode())
	default:
		return Written{Outcome: budget.OutcomeUnknown}, statusError(resp.StatusCode())
	}
}

func readEntry(key string, resp *fasthttp.Response) (Entry, error) {
	if resp.StatusCode() == fasthttp.StatusNotFound {
		return Entry{Key: key}, nil
	}
	if err := statusError(resp.StatusCode()); err != nil {
		return Entry{Key: key}, err
	}
	version, err := ParseETag(string(resp.Header.Peek(fasthttp.HeaderETag)))
	if err != nil {
		return Entry{Key: key}, err
	}
	return Entry{Key: key, Value: append([]byte(nil), resp.Body()...), Version: version}, nil
}

func (c *Client) url(path string) string { return "http://" + c.Address + path }

func (c *Client) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, wait time.Duration) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrapf(ErrUnavailable, "calling the store: %v", err)
	}
	if err := c.http.DoTimeout(req, resp, c.Timeout+wait); err != nil {
		return errors.Wrapf(ErrUnavailable, "calling the store: %v", err)
	}
	return nil
}

func statusError(status int) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusCreated:
		return nil
	case fasthttp.StatusTooManyRequests:
		return ErrLimited
	case fasthttp.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
}

func release(req *fasthttp.Request, resp *fasthttp.Response) {
	fasthttp.ReleaseRequest(req)
	fasthttp.ReleaseResponse(resp)
}

// ETag returns the entity tag of a version.
func ETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// ParseETag returns the version inside an entity tag.
func ParseETag(tag string) (uint64, error) {
	if len(tag) < 3 || !strings.HasPrefix(tag, `"`) || !strings.HasSuffix(tag, `"`) {
		return 0, errors.Newf("the entity tag %q is not a quoted version", tag)
	}
	version, err := strconv.ParseUint(tag[1:len(tag)-1], 10, 64)
	return version, errors.Wrapf(err, "the entity tag %q is not a version", tag)
}
