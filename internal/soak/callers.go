package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	platformstandin "github.com/foxtaillanding/foxtaillanding/platform/standin"
	"github.com/foxtaillanding/foxtaillanding/platform/wire"
)

// Sizes of a streamed request.
const (
	promptTokens = 100
	outputTokens = 20 // At most.
	eventsEach   = 10 // Of a whole stream, one token each.
)

// kind is what a caller asks for.
type kind string

const (
	order  kind = "order"
	lookup kind = "lookup"
	stream kind = "stream"
	probe  kind = "v" // Of a route that a version of the configuration added.
)

// call is one request as its caller saw it.
type call struct {
	id      string
	kind    kind
	account string
	version int64 // Of the route that a probe asked for.
	router  *router
	gen     int64 // Of the router when the request was sent.
	sent    time.Time
	status  int // Zero when there was no whole answer head.
	sealed  bool
	events  int
	problem string // What is wrong with the answer, whatever the faults were.
}

// callers send requests on connections that they keep.
type callers struct {
	fleet *fleet

	mu    sync.Mutex
	calls []*call // Guarded by mu.
}

// run sends requests from one caller until ctx ends.
func (c *callers) run(ctx context.Context, n int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(n)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		one := &call{
			id:      fmt.Sprintf("%x-%d-%d", seed, n, i),
			kind:    pick(random, []kind{order, order, lookup, stream, stream, stream, probe}),
			account: pick(random, []string{"poor", "middle", "rich", "rich"}),
			router:  pick(random, c.fleet.routers),
			version: 1 + random.Int64N(c.fleet.version.Load()),
		}
		c.mu.Lock()
		c.calls = append(c.calls, one)
		c.mu.Unlock()
		c.send(client, one)
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

func (c *callers) send(client *http.Client, one *call) {
	path := "/" + string(one.kind) + "/x"
	if one.kind == probe {
		path = fmt.Sprintf("/v%d/x", one.version)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+one.router.front+path, strings.NewReader("body"))
	if err != nil {
		panic(err) // The address is this module's own.
	}
	req.Host = "h"
	req.Header.Set(wire.HeaderRequestID, one.id)
	req.Header.Set(wire.HeaderAPIKey, "key-"+one.account)
	req.Header.Set(wire.HeaderTimeout, "2500")
	if one.kind == stream {
		req.Header.Set(wire.HeaderTokens, fmt.Sprintf("%d,%d", promptTokens, outputTokens))
		req.Header.Set(wire.HeaderPromptParts, "aa:60,bb:40")
	}
	gen := one.router.gen.Load()
	sent := time.Now()
	resp, err := client.Do(req)
	seen := call{gen: gen, sent: sent}
	if err == nil {
		seen.read(one, resp)
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	one.gen, one.sent, one.status, one.sealed, one.events, one.problem = seen.gen, seen.sent, seen.status, seen.sealed, seen.events, seen.problem
}

// read judges an answer by itself.
func (c *call) read(asked *call, resp *http.Response) {
	c.status = resp.StatusCode
	seal := resp.Header.Get(wire.HeaderSeal)
	c.sealed = seal != ""
	if asked.kind == stream && resp.StatusCode == http.StatusOK {
		c.readStream(asked, resp.Body, seal)
		return
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.status = 0
	case resp.StatusCode == http.StatusOK && (string(body) != "answer to "+asked.id || seal != platformstandin.Seal(asked.id, string(body))):
		c.problem = fmt.Sprintf("a success that is not the server's answer: %q", body)
	case c.sealed && resp.StatusCode != http.StatusOK && seal != platformstandin.Seal(asked.id, string(body)):
		c.problem = "a sealed failure that is not the server's"
	}
}

// readStream counts the events of a stream, which come in order, each once, and to their end when it ends as complete.
func (c *call) readStream(asked *call, body io.Reader, seal string) {
	if seal != platformstandin.Seal(asked.id, "stream") {
		c.problem = "a stream without its server's seal"
	}
	in := bufio.NewReader(body)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			if err == io.EOF && (c.events != eventsEach || line != "") {
				c.problem = fmt.Sprintf("a stream that ends as complete after %d events", c.events)
			}
			if err != io.EOF {
				c.status = 0
			}
			return
		}
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(number))
			if n != c.events+1 {
				c.problem = fmt.Sprintf("event %d after %d", n, c.events)
			}
			c.events = n
		}
	}
}
