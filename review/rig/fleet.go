package main

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet holds the processes that a case started.
type fleet struct {
	dir     string // Temporary folder.
	store   string // Address of the platform's store.
	routers []*router
	mu      sync.Mutex
	procs   []*process // Guarded by mu.
	record  *record
}

// process is a program that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // Closed when the process has ended.
}

// router is one gateway process.
type router struct {
	vm, zone                      string
	front, ready, directory, peer string // Addresses.
	memoryMB                      int
	settings                      string // Path of the settings file.
	proc                          *process
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	begun time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Ports for the programs, below those from which the kernel takes the ports of outgoing connections.
const (
	firstPort = 10000
	portCount = 20000
)

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(n int) []string {
	var out []string
	var open []net.Listener
	for len(out) < n {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err != nil {
			continue // In use.
		}
		open = append(open, ln)
		out = append(out, ln.Addr().String())
	}
	for _, ln := range open {
		_ = ln.Close()
	}
	return out
}

func (f *fleet) start(name string, env []string, stdout io.Writer, path string, args ...string) *process {
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		cannot(err)
	}
	p := &process{name: name, cmd: exec.Command(path, args...), done: make(chan struct{})}
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if stdout != nil {
		p.cmd.Stdout = stdout
	}
	if err := p.cmd.Start(); err != nil {
		cannot(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs = append(f.procs, p)
	return p
}

// startStore starts the project's stand-in of the platform's store.
func (f *fleet) startStore() {
	in, out := io.Pipe()
	f.start("store", nil, out, standinPath, "store")
	line, err := bufio.NewReader(in).ReadString('\n')
	if err != nil {
		cannot(err)
	}
	f.store = strings.TrimSpace(strings.TrimPrefix(line, "serving on "))
	go func() { _, _ = io.Copy(io.Discard, in) }()
}

// write sets a key of the store, as the operator or a server does.
func (f *fleet) write(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		cannot(err)
	}
	body := fmt.Sprintf(`{"Key":%q,"Value":%q}`, key, base64.StdEncoding.EncodeToString(text))
	resp, err := http.Post("http://"+f.store+"/Write", "application/json", strings.NewReader(body))
	if err != nil {
		cannot(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		cannot(errors.New(resp.Status))
	}
}

var zones = []string{"kal-north", "kal-south", "boulder-west"}

// addRouter starts a gateway with the command and the settings template of the deploy file.
func (f *fleet) addRouter(n int, memoryMB int) {
	zone := zones[n%len(zones)]
	r := &router{vm: fmt.Sprintf("front-%s-%d", zone, n/len(zones)+1), zone: zone, memoryMB: memoryMB}
	f.launch(r)
	f.routers = append(f.routers, r)
}

// launch starts the process of a router at addresses that are free.
func (f *fleet) launch(r *router) {
	a := freeAddresses(5)
	r.front, r.ready, r.directory, r.peer = a[0], a[1], a[2], a[3]
	r.settings = filepath.Join(f.dir, r.vm+".toml")
	text := fmt.Sprintf(`VM = %q
DataCentre = %q

[Listen]
Front = %q
Ready = %q
Directory = %q
Peer = %q
Metrics = %q

[Store]
Address = %q
WritesPerSecond = 400
ReadsPerSecond = 2000

[Memory]
LimitMegabytes = %d

[Drain]
GraceMilliseconds = 8000

[Retry]
Ratio = 0.2
Slack = 52

[Capacity]
CoreShare = 0.4
CoreSpeed = 1
LinkMegabits = 1000.0
`, r.vm, r.zone, r.front, r.ready, r.directory, r.peer, a[4], f.store, r.memoryMB)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		cannot(err)
	}
	f.restart(r)
}

// restart starts the process of a router with its settings.
func (f *fleet) restart(r *router) {
	r.proc = f.start(r.vm, []string{"FOXTAILLANDING_CONFIG=" + r.settings}, nil, gatewayPath, "gateway")
}

// awaitReady waits until all routers say that they are ready, and then for the 10 s that pass before traffic starts.
func (f *fleet) awaitReady(lead time.Duration) {
	begun := time.Now()
	for _, r := range f.routers {
		for {
			resp, err := http.Get("http://" + r.ready + wire("{ready}"))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(begun) > 20*time.Second {
				text, _ := os.ReadFile(filepath.Join(f.dir, r.vm+".log"))
				cannot(fmt.Errorf("router %s did not become ready: %s", r.vm, text[max(0, len(text)-500):]))
			}
			select {
			case <-r.proc.done: // Another process has taken one of its addresses.
				f.record.line("router %s ended while it started, and is started again", r.vm)
				f.launch(r)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	time.Sleep(lead - time.Since(begun))
}

// resolve asks a router's directory for the addresses of a host.
func (f *fleet) resolve(r *router, host, zone string) []string {
	resp, err := http.Get("http://" + r.directory + wire("{directory}?name=") + host + "&region=wa-goldfields&zone=" + zone)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return out.Addresses
}

// stop ends all processes that the case started.
func (f *fleet) stop() {
	for _, p := range f.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range f.procs {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// answerTo reads one answer from a channel. The error is io.ErrUnexpectedEOF or another one if the answer is not whole.
func answerTo(in *bufio.Reader, method string) (*http.Response, []byte, error) {
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, bytes.Clone(body), err
}
