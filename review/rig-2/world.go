package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	host     = "ficu95.example"
	orders   = "/puxa403/"
	stock    = "/cufi504/"
	drafts   = "/lohu930/"
	drainMs  = 2000
	contact  = 3 * time.Second
	configMs = 2000
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		cleanUp()
		os.Exit(2)
	}
}

var (
	errNotReady = errors.New("a router did not become ready")
	errNoPort   = errors.New("no free port")
)

var began = time.Now()

// record writes what was sent, answered and run.
type record struct {
	mu sync.Mutex
	w  io.Writer
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment with its stand-ins.
type world struct {
	store    *store
	rec      *record
	dir      string // For settings and logs.
	trouble  bool
	mu       sync.Mutex
	servers  []*server
	gateways []*gateway
	version  int
	bounds   fields
	runs     map[string][]string // Servers that began to run a request, by request ID.
	prepaid  int
	keys     []string // Keys of the tenant.
	sequence atomic.Int64
	command  func() *exec.Cmd // Starts a router in another way; may be nil.
	onServer func(*server)    // Called with each new server before it serves; may be nil.
}

var cleanups []func()

func cleanUp() {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	cleanups = nil
}

func newWorld() *world {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	if os.Getenv("KEEP") == "" {
		cleanups = append(cleanups, func() { _ = os.RemoveAll(dir) })
	} else {
		fmt.Println(dir)
	}
	out, err := os.Create(os.Getenv("RECORD"))
	check(err)
	return &world{
		store: startStore(), rec: &record{w: out}, dir: dir, trouble: os.Getenv("TROUBLE") != "0", version: 7, prepaid: 100_000_000, keys: []string{"n2ctnfzs989anu6wsjnb"},
		runs:   map[string][]string{},
		bounds: fields{"contactMs": 3000, "drainMs": drainMs, "graceS": 8, "lossSlackMs": 200, "configApplyMs": configMs, "retryBudget": 0.2, "budgetWindowS": 10, "budgetSlack": 52},
	}
}

// configuration returns the operator's configuration; the orders go to the given service.
func (w *world) configuration(orderService string) map[string]any {
	route := func(name, prefix, kind, service string, timeout, goal, attempts int, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": timeout, "goalMs": goal,
			"priority": 1, "maxAttempts": attempts, "anonymous": false}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": w.version,
		"routes": []any{
			route("r-drafts", drafts, "streaming", "engines", 15000, 1200, 2, map[string]any{"sticky": true, "resumable": true, "gapTargetMs": 300}),
			route("r-orders", orders, "non_idempotent", orderService, 1500, 300, 1, nil),
			route("r-stock", stock, "idempotent", orderService, 1500, 300, 2, nil),
		},
		"services": []any{
			map[string]any{"name": "engines", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvCapacity": 318062, "stride": 4}},
			map[string]any{"name": "counter", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": "counter-2", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": w.keys, "priority": 1, "prepaid": w.prepaid}},
	}
}

// configure writes a new version of the configuration and returns when the store acknowledged it.
func (w *world) configure(orderService string) time.Time {
	w.version += 3
	at := w.store.write(names["configuration"], w.configuration(orderService))
	w.rec.add("operator: configuration %d acknowledged, orders go to %s, keys %v", w.version, orderService, w.keys)
	return at
}

// gateway is one router process.
type gateway struct {
	name, zone, front string
	settings          string
	cmd               *exec.Cmd
	proxy             *proxy // To the store.
	logPath           string
}

// freePort returns a port below those that the system gives to clients, so that no connection takes it meanwhile.
func freePort() int {
	for range 1000 {
		port := 12000 + rand.N(18000)
		if taken[port] {
			continue
		}
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = ln.Close()
		taken[port] = true
		return port
	}
	check(errNoPort)
	return 0
}

var taken = map[int]bool{}

// settingsOf returns the settings of a router, rendered from the template of the deploy file.
func (w *world) settingsOf(f fields) string {
	template, err := os.ReadFile("deploy/gateway.toml.template")
	check(err)
	return render(string(template), f)
}

func (w *world) addGateway(zone string) *gateway {
	n := len(w.gateways) + 1
	g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, proxy: startProxy(w.store.address)}
	g.front = fmt.Sprintf("127.0.0.1:%d", freePort())
	g.settings = filepath.Join(w.dir, g.name+".toml")
	g.logPath = filepath.Join(w.dir, g.name+".log")
	w.gateways = append(w.gateways, g)
	w.writeSettings(g, freePort(), freePort(), freePort())
	return g
}

var portsOf = map[string][3]int{}

func (w *world) writeSettings(g *gateway, ready, directory, peer int) {
	portsOf[g.name] = [3]int{ready, directory, peer}
	f := fields{
		"nodeName": g.name, "zone": g.zone, "ip": "127.0.0.1", "portRange": []int{peer, peer + 15},
		"listen":    fields{"front": g.front, "ready": fmt.Sprintf("127.0.0.1:%d", ready), "directory": fmt.Sprintf("127.0.0.1:%d", directory)},
		"provider":  fields{"address": g.proxy.address, "writesPerS": 400, "readsPerS": 2000},
		"limits":    fields{"memoryMb": 284, "cpuShare": 0.4, "cores": 1, "linkMbps": 1000.0},
		"bounds":    w.bounds,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
	}
	text := strings.Replace(w.settingsOf(f), "127.0.0.1:9464", "", 1) // All machines of the rig share one address, so none serves metrics.
	check(os.WriteFile(g.settings, []byte(text), 0o600))
}

// rewriteSettings writes the settings of a router again, with the bounds in force.
func (w *world) rewriteSettings(g *gateway) {
	p := portsOf[g.name]
	w.writeSettings(g, p[0], p[1], p[2])
}

// start starts a router process with the command of the deploy file.
func (w *world) start(g *gateway) {
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command("target/foxtaillanding", "gateway")
	if w.command != nil {
		cmd = w.command()
	}
	cmd.Env = append(os.Environ(), "FOXTAILLANDING_CONFIG="+g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	check(cmd.Start())
	g.cmd = cmd
	w.rec.add("platform: %s started", g.name)
	cleanups = append(cleanups, func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
}

// awaitReady waits until a router answers its readiness check.
func (w *world) awaitReady(g *gateway, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d%s", portsOf[g.name][0], names["ready"]))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// server is a stand-in of a server.
type server struct {
	w             *world
	id, service   string
	zone, address string
	slots         int
	born          int64
	work          time.Duration
	events        int
	ln            net.Listener
	http          *http.Server
	sem           chan struct{}
	seq           int
	mu            sync.Mutex
	stopped       bool
	draining      bool
	busy          atomic.Int64
	onArrival     func(id string)
	handle        func(rw http.ResponseWriter, r *http.Request, run *run) bool // Nil, or serves a request; true if it did.
}

// run is one run of a request at a server.
type run struct {
	id   string
	body []byte
}

func (w *world) addServer(service, zone string, slots int) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &server{w: w, id: fmt.Sprintf("i-%s-%d", service, len(w.servers)+1), service: service, zone: zone, slots: slots, work: 60 * time.Millisecond, events: 20}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	if w.onServer != nil {
		w.onServer(s)
	}
	s.listen(ln)
	w.servers = append(w.servers, s)
	return s
}

func (s *server) listen(ln net.Listener) {
	s.address = ln.Addr().String()
	s.ln = ln
	s.born = time.Now().UnixMilli()
	s.sem = make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(ln) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish()
}

func (s *server) publish() time.Time {
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	return s.w.store.write("servers/"+s.id, map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": state, "coldLeftMs": 0, "seq": s.seq, "born": s.born})
}

// drain reports that the server leaves, and returns when the store acknowledged that.
func (s *server) drain() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	at := s.publish()
	s.w.rec.add("server %s: draining, acknowledged by the store", s.id)
	return at
}

func (s *server) setOnArrival(f func(id string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onArrival = f
}

// stop ends the server, with its connections, and removes its entry.
func (s *server) stop(removeEntry bool) {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	_ = s.http.Close()
	if removeEntry {
		s.w.store.delete("servers/" + s.id)
	}
	s.w.rec.add("server %s: ended, %d requests at work", s.id, s.busy.Load())
}

func (s *server) serve(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" || r.URL.Path == names["report"] {
		rw.Header().Set("Instance-Id", s.id)
		_, _ = rw.Write([]byte("{}"))
		return
	}
	id := r.Header.Get(names["request-id"])
	if expected := r.Header.Get(names["expected-server"]); expected != "" && expected != s.id {
		rw.Header().Set("Instance-Id", s.id)
		rw.WriteHeader(421)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.w.rec.add("server %s: request %s arrives (%s %s, Last-Event-Id %q, Tenant %q)", s.id, id, r.Method, r.URL.Path, r.Header.Get("Last-Event-Id"), r.Header.Get("Tenant"))
	s.mu.Lock()
	arrived := s.onArrival
	s.mu.Unlock()
	if arrived != nil {
		arrived(id)
	}
	rw.Header().Set(names["request-id"], id)
	select {
	case s.sem <- struct{}{}:
	default:
		rw.Header().Set(names["not-run"], "1")
		rw.WriteHeader(503)
		return
	}
	defer func() { <-s.sem }()
	s.w.began(id, s.id)
	s.busy.Add(1)
	defer s.busy.Add(-1)
	if s.handle != nil && s.handle(rw, r, &run{id, body}) {
		return
	}
	rw.Header().Set(names["seal"], "seal."+s.id)
	rw.Header().Set(names["load"], fmt.Sprintf("%d,0,%d", s.busy.Load(), s.slots))
	if r.Header.Get(names["tokens"]) != "" {
		s.stream(rw, r, id)
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.w.rec.add("server %s: request %s dropped, its channel has closed", s.id, id)
		return
	}
	out := bytes.Repeat([]byte("x"), 800)
	rw.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = rw.Write(out)
	s.w.rec.add("server %s: request %s answered 200", s.id, id)
}

// stream answers with a series of events.
func (s *server) stream(rw http.ResponseWriter, r *http.Request, id string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	for n := first; n <= s.events; n++ {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			s.w.rec.add("server %s: stream %s dropped at event %d, its channel has closed", s.id, id, n)
			return
		}
		fmt.Fprintf(rw, "id: %d\ndata: piece %d of the stream\n\n", n, n)
		rw.(http.Flusher).Flush()
	}
	s.w.rec.add("server %s: stream %s complete", s.id, id)
}

// began records that a server began to run a request.
func (w *world) began(id, server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], server)
}

func (w *world) runsOf(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.runs[id]...)
}

// result is what a client got.
type result struct {
	id     string
	status int // 0 if the channel ended without an answer.
	whole  bool
	events int
	sentAt time.Time
	err    error
}

// call describes one attempt of a client.
type call struct {
	kind  string // orders, stock or drafts
	key   string
	body  []byte
	after string // Last-Event-Id
}

// send sends one request to a router on a new channel and reads the answer to its end.
func (w *world) send(g *gateway, c call) result {
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+w.sequence.Add(1))
	method, deadline := "POST", 1500*time.Millisecond
	switch {
	case strings.HasPrefix(c.kind, stock):
		method = "GET"
	case c.kind == drafts:
		deadline = 15 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+300*time.Millisecond)
	defer cancel()
	var body io.Reader
	if method == "POST" {
		if c.body == nil {
			c.body = []byte("order " + id)
		}
		body = bytes.NewReader(c.body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+c.kind+"2f", body)
	check(err)
	req.Host = host
	req.Header.Set(names["request-id"], id)
	req.Header.Set(names["timeout"], strconv.FormatInt(deadline.Milliseconds(), 10))
	if c.key == "" {
		c.key = w.keys[0]
	}
	req.Header.Set(names["api-key"], c.key)
	req.Close = true
	if c.kind == drafts {
		req.Header.Set("Model", "m")
		req.Header.Set(names["tokens"], "700,80")
		req.Header.Set(names["prompt-parts"], "5c1e07a2:200,"+id[8:]+":500")
	}
	if c.after != "" {
		req.Header.Set("Last-Event-Id", c.after)
	}
	out := result{id: id, sentAt: time.Now()}
	w.rec.add("client: %s %s sent to %s", c.kind, id, g.name)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		out.err = err
		w.rec.add("client: %s ends without an answer: %v", id, err)
		return out
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	out.status, out.whole, out.err = resp.StatusCode, err == nil, err
	out.events = bytes.Count(data, []byte("\n\n"))
	w.rec.add("client: %s gets %d, whole %v, seal %q", id, resp.StatusCode, out.whole, resp.Header.Get(names["seal"]))
	return out
}

// exited reports whether a router process has ended.
func exited(g *gateway) bool {
	var status syscall.WaitStatus
	pid, err := syscall.Wait4(g.cmd.Process.Pid, &status, syscall.WNOHANG, nil)
	return err != nil || pid == g.cmd.Process.Pid
}

// lastLine returns the last line of a log.
func lastLine(log []byte) string {
	lines := strings.Split(strings.TrimSpace(string(log)), "\n")
	return lines[len(lines)-1]
}
