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
	promptTokens    = 100
	maxOutputTokens = 20
	streamEvents    = 10 // Events of a complete stream, one token each.
)

// kind is the kind of a request; the request's path begins with its text.
type kind string

const (
	order  kind = "order"
	lookup kind = "lookup"
	stream kind = "stream"
	probe  kind = "v" // Followed by a version; requests the route that this version of the configuration added.
)

// callRecord is one request with the response that its caller received.
type callRecord struct {
	id      string
	kind    kind
	account string
	version int64 // Version of the configuration whose route a probe requests.
	router  *router
	gen     int64 // Generation of the router when the request was sent.
	sent    time.Time
	status  int    // HTTP status; zero if there was no complete response.
	sealed  bool   // The response carries the seal of a server.
	events  int    // Events received of a stream.
	problem string // Violation visible in the response itself, which no injected fault may cause; empty if there is none.
}

// callers sends requests to the routers on persistent connections and records the responses.
type callers struct {
	fleet *fleet

	mu    sync.Mutex
	calls []*callRecord // Guarded by mu, including the responses in the records.
}

// run sends the requests of caller n until ctx ends.
func (c *callers) run(ctx context.Context, n int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(n)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		call := &callRecord{
			id:      fmt.Sprintf("%x-%d-%d", seed, n, i),
			kind:    pick(random, []kind{order, order, lookup, stream, stream, stream, probe}),
			account: pick(random, []string{"poor", "middle", "rich", "rich"}),
			router:  pick(random, c.fleet.routers),
			version: 1 + random.Int64N(c.fleet.version.Load()),
		}
		c.mu.Lock()
		c.calls = append(c.calls, call)
		c.mu.Unlock()
		c.send(client, call)
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// send sends a request and records its response in call.
func (c *callers) send(client *http.Client, call *callRecord) {
	path := "/" + string(call.kind) + "/x"
	if call.kind == probe {
		path = fmt.Sprintf("/v%d/x", call.version)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+call.router.front+path, strings.NewReader("body"))
	if err != nil {
		panic(err) // The URL is built from a valid address.
	}
	req.Host = "h"
	req.Header.Set(wire.HeaderRequestID, call.id)
	req.Header.Set(wire.HeaderAPIKey, "key-"+call.account)
	req.Header.Set(wire.HeaderTimeout, "2500")
	if call.kind == stream {
		req.Header.Set(wire.HeaderTokens, fmt.Sprintf("%d,%d", promptTokens, maxOutputTokens))
		req.Header.Set(wire.HeaderPromptParts, "aa:60,bb:40")
	}
	gen := call.router.gen.Load()
	sent := time.Now()
	resp, err := client.Do(req)
	result := callRecord{gen: gen, sent: sent}
	if err == nil {
		result.read(call, resp)
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	call.gen, call.sent, call.status, call.sealed, call.events, call.problem = result.gen, result.sent, result.status, result.sealed, result.events, result.problem
}

// read reads the response to a request and checks it without the records of the servers.
func (c *callRecord) read(request *callRecord, resp *http.Response) {
	c.status = resp.StatusCode
	seal := resp.Header.Get(wire.HeaderSeal)
	c.sealed = seal != ""
	if request.kind == stream && resp.StatusCode == http.StatusOK {
		c.readStream(request, resp.Body, seal)
		return
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.status = 0
	case resp.StatusCode == http.StatusOK && (string(body) != "answer to "+request.id || seal != platformstandin.Seal(request.id, string(body))):
		c.problem = fmt.Sprintf("status 200 with a body or a seal that is not the server's: %q", body)
	case c.sealed && resp.StatusCode != http.StatusOK && seal != platformstandin.Seal(request.id, string(body)):
		c.problem = "sealed failure whose seal does not match its body"
	}
}

// readStream counts the events of a stream, which must arrive in order and exactly once.
//
// A stream that ends without an error must be complete.
func (c *callRecord) readStream(request *callRecord, body io.Reader, seal string) {
	if seal != platformstandin.Seal(request.id, "stream") {
		c.problem = "stream without the seal of its server"
	}
	in := bufio.NewReader(body)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			if err == io.EOF && (c.events != streamEvents || line != "") {
				c.problem = fmt.Sprintf("stream ended without an error after %d events", c.events)
			}
			if err != io.EOF {
				c.status = 0
			}
			return
		}
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(number))
			if n != c.events+1 {
				c.problem = fmt.Sprintf("event %d follows event %d", n, c.events)
			}
			c.events = n
		}
	}
}
