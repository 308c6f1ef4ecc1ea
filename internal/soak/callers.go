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
	breakOffOneIn   = 6  // Streams of which a caller breaks one off, to take it up at another router.
)

// kind is the kind of a request; the request's path begins with its text.
type kind string

const (
	order  kind = "order"
	lookup kind = "lookup"
	stream kind = "stream"
	probe  kind = "v" // Followed by a version; requests the route that this version of the configuration added.

	streamOnce kind = "stream-once" // A stream that the router does not resume itself, but the caller may take up.
)

// streams reports whether the answer is a stream.
func (k kind) streams() bool { return k == stream || k == streamOnce }

// repeatable reports whether the request may run more than once.
func (k kind) repeatable() bool { return k != order && k != streamOnce }

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
	resumes string // ID of the call whose stream this one takes up; empty if it begins one.
	after   int    // Last event of that call.
	leaves  int    // Events after which the caller breaks the stream off; zero if it does not.
	events  int    // Events received of a stream.
	sender  string // Software version that sent the events, those of the call that began the stream included.
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
			kind:    pick(random, []kind{order, order, lookup, stream, stream, streamOnce, probe}),
			account: pick(random, []string{"poor", "middle", "rich", "rich"}),
			router:  pick(random, c.fleet.routers),
			version: 1 + random.Int64N(c.fleet.version.Load()),
		}
		if random.IntN(breakOffOneIn) == 0 {
			call.leaves = 1 + random.IntN(streamEvents-1)
		}
		c.record(call)
		c.send(client, call)
		if next := call.next(pick(random, c.fleet.routers)); next != nil {
			c.record(next)
			c.send(client, next)
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

func (c *callers) record(call *callRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
}

// next returns the call that takes up the stream of this one at a router, or nil if no stream broke after its first event.
func (c *callRecord) next(r *router) *callRecord {
	if !c.kind.streams() || c.status != 0 || c.events == 0 || c.events == streamEvents {
		return nil
	}
	return &callRecord{
		id: c.id + "-next", kind: c.kind, account: c.account, version: c.version, router: r,
		resumes: c.id, after: c.events, sender: c.sender,
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
	if call.kind.streams() {
		req.Header.Set(wire.HeaderTokens, fmt.Sprintf("%d,%d", promptTokens, maxOutputTokens))
		req.Header.Set(wire.HeaderPromptParts, "aa:60,bb:40")
	}
	if call.resumes != "" {
		req.Header.Set(wire.HeaderResumes, call.resumes)
		req.Header.Set(wire.HeaderLastEventID, strconv.Itoa(call.after))
	}
	gen := call.router.gen.Load()
	sent := time.Now()
	resp, err := client.Do(req)
	result := callRecord{gen: gen, sent: sent, sender: call.sender}
	if err == nil {
		result.read(call, resp)
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	call.gen, call.sent, call.status, call.sealed = result.gen, result.sent, result.status, result.sealed
	call.events, call.sender, call.problem = result.events, result.sender, result.problem
}

// read reads the response to a request and checks it without the records of the servers.
func (c *callRecord) read(request *callRecord, resp *http.Response) {
	c.status = resp.StatusCode
	seal := resp.Header.Get(wire.HeaderSeal)
	c.sealed = seal != ""
	if request.kind.streams() && resp.StatusCode == http.StatusOK {
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

// readStream counts the events of a stream, which must arrive in order and exactly once, all from one software version.
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
			if err == io.EOF && (request.after+c.events != streamEvents || line != "") {
				c.problem = fmt.Sprintf("stream ended without an error after event %d", request.after+c.events)
			}
			if err != io.EOF {
				c.status = 0
			}
			return
		}
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(number))
			if n != request.after+c.events+1 {
				c.problem = fmt.Sprintf("event %d follows event %d", n, request.after+c.events)
			}
			c.events++
		}
		if sender, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			if c.sender != "" && sender != c.sender {
				c.problem = fmt.Sprintf("event of version %s in a stream of version %s", sender, c.sender)
			}
			c.sender = sender
			if c.events == request.leaves {
				c.status = 0
				return
			}
		}
	}
}
