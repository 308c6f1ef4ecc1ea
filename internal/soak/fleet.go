package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

	"github.com/cockroachdb/errors"

	"github.com/foxtaillanding/foxtaillanding/internal/gateway"
	"github.com/foxtaillanding/foxtaillanding/internal/standin"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
	"github.com/foxtaillanding/foxtaillanding/platform"
	platformstandin "github.com/foxtaillanding/foxtaillanding/platform/standin"
	"github.com/foxtaillanding/foxtaillanding/platform/wire"
)

// process is a program that the soak started.
type process struct {
	cmd     *exec.Cmd
	address string        // Address that a stand-in printed; empty for other programs.
	done    chan struct{} // Closed when the process has ended.
}

// start starts a program whose output is appended to the file log.
//
// The standard output of a stand-in is a pipe instead, whose first line contains the address.
func start(log string, isStandin bool, name string, args ...string) (*process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "opening the log of a process")
	}
	p := &process{cmd: exec.Command(name, args...), done: make(chan struct{})}
	p.cmd.Stdout = file
	p.cmd.Stderr = file
	var first *bufio.Reader
	if isStandin {
		p.cmd.Stdout = nil
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return nil, errors.Wrap(err, "opening the output of a stand-in")
		}
		first = bufio.NewReader(out)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	if first != nil {
		line, err := first.ReadString('\n')
		if err != nil {
			return nil, errors.Wrapf(err, "reading the address of %s", name)
		}
		p.address = strings.TrimSpace(strings.TrimPrefix(line, "serving on "))
	}
	go func() {
		_ = p.cmd.Wait() // The error of a killed process is expected.
		_ = file.Close()
		close(p.done)
	}()
	return p, nil
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// router is one gateway of the run; it remains the same router when its process is restarted.
type router struct {
	name  string
	front string        // Address for callers.
	ready string        // Address of the readiness probe.
	file  string        // Path of the settings file.
	store *standin.Link // Link to the store.
	gen   atomic.Int64  // Generation, incremented whenever the process ends or starts.

	restarting sync.Mutex // Held while the process is restarted, so that overlapping restarts leave no process behind.

	mu   sync.Mutex
	proc *process // Guarded by mu.
}

// process returns the process that runs now.
func (r *router) process() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proc
}

func (r *router) signal(s os.Signal) { r.process().signal(s) }

// server is a server of the service.
type server struct {
	id      string
	version string // Version of its software.
	proc    *process
	link    *standin.Link // Link from the routers.

	startedAt int64 // Start time in its entry.
}

// fleet holds the processes of a run.
type fleet struct {
	cfg     Config
	store   *process
	routers []*router
	servers []*server
	version atomic.Int64 // Latest version of the configuration.
}

// newFleet starts the processes of a run and waits until the routers are ready.
//
// The caller must stop the returned fleet even after an error.
func newFleet(cfg Config) (*fleet, error) {
	f := &fleet{cfg: cfg}
	var err error
	if f.store, err = start(f.logPath("store"), true, f.binaryPath("standin"), "store"); err != nil {
		return f, err
	}
	for i := range cfg.Servers {
		if err := f.addServer(fmt.Sprintf("i-%d", i), fmt.Sprintf("v%d", i%softwareVersions)); err != nil {
			return f, err
		}
	}
	f.configure()
	for i := range cfg.Routers {
		if err := f.addRouter(i); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

func (f *fleet) logPath(name string) string    { return filepath.Join(f.cfg.Dir, name+".log") }
func (f *fleet) binaryPath(name string) string { return filepath.Join(f.cfg.Binaries, name) }

// softwareVersions is the number of software versions that serve side by side.
const softwareVersions = 2

func (f *fleet) addServer(id, version string) error {
	p, err := start(f.logPath(id), true, f.binaryPath("standin"), "server", "--id", id, "--software", version, "--events", strconv.Itoa(streamEvents))
	if err != nil {
		return err
	}
	link, err := standin.NewLink(p.address)
	if err != nil {
		return err
	}
	s := &server{id: id, version: version, proc: p, link: link, startedAt: 1}
	f.servers = append(f.servers, s)
	f.register(s, false)
	return nil
}

// register writes the entry of a server to the store.
func (f *fleet) register(s *server, leaving bool) {
	const slots = 64
	value, err := platform.EncodeEntry(gateway.Entry{Service: service, Address: s.link.Address, DataCentre: "dc", Version: s.version, Slots: slots, Leaving: leaving, StartedAt: s.startedAt})
	if err != nil {
		panic(err) // The types of this module can always be encoded.
	}
	f.write(wire.ServersPrefix+s.id, value)
}

func (f *fleet) addRouter(i int) error {
	link, err := standin.NewLink(f.store.address)
	if err != nil {
		return err
	}
	r := &router{name: fmt.Sprintf("vm-%d", i), front: standin.FreeAddress(), ready: standin.FreeAddress(), store: link}
	r.file = filepath.Join(f.cfg.Dir, r.name+".toml")
	text := fmt.Sprintf("VM = %q\nDataCentre = \"dc-%d\"\n[Listen]\nFront = %q\nReady = %q\nDirectory = %q\nPeer = %q\n[Store]\nAddress = %q\nWritesPerSecond = 400.0\nReadsPerSecond = 2000.0\n[Memory]\nLimitMegabytes = 256\n[Drain]\nGraceMilliseconds = 4000\n[Retry]\nRatio = 0.2\nSlack = 50.0\n",
		r.name, i%3, r.front, r.ready, standin.FreeAddress(), standin.FreeAddress(), link.Address)
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "writing settings")
	}
	f.routers = append(f.routers, r)
	return f.startRouter(r)
}

func (f *fleet) startRouter(r *router) error {
	p, err := start(f.logPath(r.name), false, f.binaryPath("foxtaillanding"), "gateway", "--settings", r.file)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proc = p
	r.gen.Add(1)
	return err
}

// restart ends a router by a signal and starts it again after a pause.
func (f *fleet) restart(r *router, s os.Signal, pause time.Duration) error {
	r.restarting.Lock()
	defer r.restarting.Unlock()
	p := r.process()
	p.signal(syscall.SIGCONT)
	p.signal(s)
	<-p.done
	r.gen.Add(1)
	time.Sleep(pause)
	return f.startRouter(r)
}

// awaitReady waits until all routers are ready.
func (f *fleet) awaitReady() error {
	const timeout = 30 * time.Second
	deadline := time.Now().Add(timeout)
	for _, r := range f.routers {
		for !isReady(r) {
			if time.Now().After(deadline) {
				return errors.Newf("%s is not ready after %v", r.name, timeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(r *router) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.ready + wire.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop kills all processes of the run and closes the links.
func (f *fleet) stop() {
	for _, r := range f.routers {
		if p := r.process(); p != nil {
			p.signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
		_ = r.store.Close()
	}
	for _, s := range f.servers {
		_ = s.proc.cmd.Process.Kill()
		_ = s.link.Close()
	}
	if f.store != nil {
		_ = f.store.cmd.Process.Kill()
	}
}

// putJSON sends v to a stand-in; failures are ignored.
func putJSON(address, path string, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // The types of this module can always be encoded.
	}
	client := http.Client{Timeout: 10 * time.Second}
	req, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	if resp, err := client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// write sets a key of the store as another client would.
func (f *fleet) write(key string, value []byte) {
	putJSON(f.store.address, platformstandin.WritePath, platformstandin.Written{Key: key, Value: value})
}

// service is the only service of a run.
const service = "app"

// configure writes the next version of the configuration.
//
// Each version adds a route of its own and raises the prepaid tokens of the accounts.
func (f *fleet) configure() {
	version := f.version.Add(1)
	cfg := route.Configuration{
		Version: uint64(version),
		Routes: []route.Route{
			newRoute(string(order), route.NonIdempotent, 1),
			newRoute(string(lookup), route.Idempotent, 2),
			newRoute(string(stream), route.Stream, 2),
			newRoute(string(streamOnce), route.Stream, 1),
		},
		Services: []route.Service{{Name: service, TokensPerEvent: 1}},
	}
	for n := int64(1); n <= version; n++ {
		cfg.Routes = append(cfg.Routes, newRoute(fmt.Sprint(probe, n), route.Idempotent, 2))
	}
	for name := range accounts {
		cfg.Accounts = append(cfg.Accounts, route.Account{Name: name, Keys: []string{"key-" + name}, Prepaid: prepaid(name, version)})
	}
	value, err := platform.EncodeConfiguration(cfg)
	if err != nil {
		panic(err) // The types of this module can always be encoded.
	}
	f.write(wire.ConfigurationKey, value)
}

// newRoute returns a route for the requests whose path begins with /name/.
func newRoute(name string, kind route.Kind, attempts int) route.Route {
	return route.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Targets: []route.Target{{Service: service, Weight: 1}},
		Timeout: 2500 * time.Millisecond, Objective: 400 * time.Millisecond, Gap: 300 * time.Millisecond,
		MaxAttempts: attempts, HasPrompt: kind == route.Stream, Resumable: kind == route.Stream,
	}
}

// accounts maps each client account to its initial prepaid tokens.
var accounts = map[string]int64{"poor": 8000, "middle": 40000, "rich": 1 << 40}

// prepaid returns the prepaid tokens of an account as of a version of the configuration.
func prepaid(account string, version int64) int64 {
	return accounts[account] + version*accounts[account]/10
}

// pick returns a random element of list.
func pick[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }
