package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
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

	"github.com/cockroachdb/errors"

	"github.com/foxtaillanding/foxtaillanding/internal/standin"
	platformstandin "github.com/foxtaillanding/foxtaillanding/platform/standin"
	"github.com/foxtaillanding/foxtaillanding/platform/wire"
)

// process is a program that the soak started.
type process struct {
	cmd     *exec.Cmd
	address string // As a stand-in printed it.
	done    chan struct{}
}

// start runs a program; its output goes to a file, but for the first line of a stand-in, which tells its address.
func start(log string, standin bool, name string, args ...string) (*process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "opening a log")
	}
	p := &process{cmd: exec.Command(name, args...), done: make(chan struct{})}
	p.cmd.Stdout = file
	p.cmd.Stderr = file
	var first *bufio.Reader
	if standin {
		p.cmd.Stdout = nil
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return nil, errors.Wrap(err, "reading a stand-in's address")
		}
		first = bufio.NewReader(out)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	if first != nil {
		line, err := first.ReadString('\n')
		if err != nil {
			return nil, errors.Wrapf(err, "%s did not start", name)
		}
		p.address = strings.TrimSpace(strings.TrimPrefix(line, "serving on "))
	}
	go func() {
		_ = p.cmd.Wait() // A killed process ends with an error.
		_ = file.Close()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// router is one gateway through its incarnations.
type router struct {
	name  string
	front string
	ready string
	file  string // Its settings.
	store *standin.Link
	gen   atomic.Int64 // Raised whenever the process ends or starts.

	mu   sync.Mutex
	proc *process // Guarded by mu.
}

// server is one server of the service.
type server struct {
	id   string
	proc *process
	link *standin.Link
}

// fleet is everything that a run started.
type fleet struct {
	cfg     Config
	store   *process
	routers []*router
	servers []*server
	version atomic.Int64 // Of the configuration.
	port    int
}

func newFleet(cfg Config) (*fleet, error) {
	const firstPort, ports = 20000, 12000
	f := &fleet{cfg: cfg, port: firstPort + os.Getpid()*37%ports}
	var err error
	if f.store, err = start(f.log("store"), true, f.binary("standin"), "store"); err != nil {
		return f, err
	}
	for i := range cfg.Servers {
		if err := f.addServer(fmt.Sprintf("i-%d", i)); err != nil {
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

func (f *fleet) log(name string) string    { return filepath.Join(f.cfg.Dir, name+".log") }
func (f *fleet) binary(name string) string { return filepath.Join(f.cfg.Binaries, name) }

// address returns one that a process can listen on later.
func (f *fleet) address() string {
	for {
		f.port++
		address := "127.0.0.1:" + strconv.Itoa(f.port)
		if ln, err := net.Listen("tcp4", address); err == nil {
			_ = ln.Close()
			return address
		}
	}
}

func (f *fleet) addServer(id string) error {
	p, err := start(f.log(id), true, f.binary("standin"), "server", "--id", id, "--events", strconv.Itoa(eventsEach))
	if err != nil {
		return err
	}
	link, err := standin.NewLink(p.address)
	if err != nil {
		return err
	}
	s := &server{id: id, proc: p, link: link}
	f.servers = append(f.servers, s)
	f.enter(s, "ready")
	return nil
}

// enter writes what a server says of itself.
func (f *fleet) enter(s *server, state string) {
	entry := fmt.Sprintf(`{"service":"app","address":%q,"zone":"z","slots":64,"state":%q,"born":1,"seq":1}`, s.link.Address, state)
	f.write(wire.ServersPrefix+s.id, entry)
}

func (f *fleet) addRouter(i int) error {
	link, err := standin.NewLink(f.store.address)
	if err != nil {
		return err
	}
	r := &router{name: fmt.Sprintf("vm-%d", i), front: f.address(), ready: f.address(), store: link}
	r.file = filepath.Join(f.cfg.Dir, r.name+".toml")
	text := fmt.Sprintf("VM = %q\nDataCentre = \"dc-%d\"\n[Listen]\nFront = %q\nReady = %q\nDirectory = %q\nPeer = %q\n[Store]\nAddress = %q\nWritesPerSecond = 400.0\nReadsPerSecond = 2000.0\n[Memory]\nLimitMegabytes = 256\n[Drain]\nGraceMilliseconds = 4000\n[Retry]\nRatio = 0.2\nSlack = 50.0\n",
		r.name, i%3, r.front, r.ready, f.address(), f.address(), link.Address)
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "writing settings")
	}
	f.routers = append(f.routers, r)
	return f.startRouter(r)
}

func (f *fleet) startRouter(r *router) error {
	p, err := start(f.log(r.name), false, f.binary("foxtaillanding"), "gateway", "--settings", r.file)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proc = p
	r.gen.Add(1)
	return err
}

// restart ends a router by a signal and starts it again after a pause.
func (f *fleet) restart(r *router, s os.Signal, pause time.Duration) error {
	r.mu.Lock()
	p := r.proc
	r.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(s)
	<-p.done
	r.gen.Add(1)
	time.Sleep(pause)
	return f.startRouter(r)
}

func (f *fleet) awaitReady() error {
	const patience = 30 * time.Second
	until := time.Now().Add(patience)
	for _, r := range f.routers {
		for !isReady(r) {
			if time.Now().After(until) {
				return errors.Newf("%s is not ready after %v", r.name, patience)
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

// stop ends all that was started.
func (f *fleet) stop() {
	for _, r := range f.routers {
		r.mu.Lock()
		p := r.proc
		r.mu.Unlock()
		if p != nil {
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

// tell posts v to a stand-in.
func tell(address, path string, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // A type of this module that cannot be encoded.
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

func (f *fleet) write(key, value string) {
	tell(f.store.address, platformstandin.WritePath, platformstandin.Written{Key: key, Value: []byte(value)})
}

// configure writes the next version of the configuration, which adds a route of its own and raises what one account paid.
func (f *fleet) configure() {
	version := f.version.Add(1)
	routes := []string{
		`{"name":"order","host":"h","pathPrefix":"/order/","kind":"non_idempotent","service":"app","timeoutMs":2000,"goalMs":300,"maxAttempts":1}`,
		`{"name":"lookup","host":"h","pathPrefix":"/lookup/","kind":"idempotent","service":"app","timeoutMs":2000,"goalMs":300,"maxAttempts":2}`,
		`{"name":"stream","host":"h","pathPrefix":"/stream/","kind":"streaming","service":"app","timeoutMs":3000,"goalMs":500,"maxAttempts":2,"resumable":true,"sticky":true,"gapTargetMs":300}`,
	}
	for n := int64(1); n <= version; n++ {
		routes = append(routes, fmt.Sprintf(`{"name":"v%d","host":"h","pathPrefix":"/v%d/","kind":"idempotent","service":"app","timeoutMs":2000,"goalMs":300,"maxAttempts":2}`, n, n))
	}
	var tenants []string
	for name := range accounts {
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"apiKeys":["key-%s"],"prepaid":%d}`, name, name, paid(name, version)))
	}
	f.write(wire.ConfigurationKey, fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"app","engine":{"stride":1}}],"limits":{},"tenants":[%s]}`,
		version, strings.Join(routes, ","), strings.Join(tenants, ",")))
}

// accounts are the client accounts with what they paid at first, in tokens.
var accounts = map[string]int64{"poor": 8000, "middle": 40000, "rich": 1 << 40}

// paid returns what an account paid by a version of the configuration.
func paid(account string, version int64) int64 {
	return accounts[account] + version*accounts[account]/10
}

func pick[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }
