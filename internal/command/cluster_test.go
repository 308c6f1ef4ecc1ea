package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/internal/chat"
	"github.com/foxtaillanding/foxtaillanding/internal/operators"
	"github.com/foxtaillanding/foxtaillanding/internal/standin"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// waitTimeout bounds every wait of these tests. It only ends a test that hangs: no check depends on how soon a condition
// becomes true.
const waitTimeout = 60 * time.Second

const (
	testAPIKey   = "test-api-key"
	testAdminKey = "test-admin-key"
	testBudget   = "team"
)

// binDir is the directory of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "foxtaillanding")
	if err != nil {
		panic(err)
	}
	binDir = dir
	args := append([]string{"build", "-o", dir}, buildFlags...)
	build := exec.Command("go", append(args, "../../cmd/foxtaillanding", "../../cmd/standin")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running program of this module that was started by a test.
type process struct {
	cmd      *exec.Cmd
	address  string       // Address that the program printed at its start; empty for a gateway.
	log      bytes.Buffer // Read only after the process has ended.
	killOnce sync.Once
}

// startProcess starts a program, waits until it has printed its address, and kills it at the end of the test.
func startProcess(t *testing.T, name string, args ...string) *process {
	p := &process{cmd: exec.Command(filepath.Join(binDir, name), args...)}
	p.cmd.Stderr = &p.log
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() {
		p.kill()
		require.NotContains(t, p.log.String(), "DATA RACE")
		require.NotContains(t, p.log.String(), "panic")
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err, "%s did not start", name)
	p.address = strings.TrimSpace(strings.TrimPrefix(line, "serving on "))
	return p
}

// startGateway starts a gateway, which is killed at the end of the test, and returns the path of its log file.
func startGateway(t *testing.T, settingsPath string) string {
	log := filepath.Join(t.TempDir(), "log")
	out, err := os.Create(log)
	require.NoError(t, err)
	p := &process{cmd: exec.Command(filepath.Join(binDir, "foxtaillanding"), "gateway", "--settings", settingsPath)}
	p.cmd.Stdout = out
	p.cmd.Stderr = &p.log
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() {
		p.kill()
		_ = out.Close()
		require.NotContains(t, p.log.String(), "DATA RACE")
	})
	return log
}

func (p *process) kill() {
	p.killOnce.Do(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
}

func (p *process) signal(t *testing.T, s os.Signal) { require.NoError(t, p.cmd.Process.Signal(s)) }

// cluster is a fleet of three routers in three data centres with a store, engines and an order service, each a separate process.
type cluster struct {
	store, service *process
	engines        []*process
	routers        []*process
	file           string // Path of the settings file that all routers share; empty if each has its own.
	tree           settings.Tree
}

// startCluster starts a cluster with two engines and waits until its budget has the prepaid tokens and all routers are alive.
func startCluster(t *testing.T, prepaid int64, engineArgs ...string) *cluster {
	c := &cluster{
		store:   startProcess(t, "standin", "store"),
		service: startProcess(t, "standin", "service"),
	}
	f := settings.Fleet{
		Name: "test", PeerKey: "test-peer-key-00", AdminSHA256: settings.HashKey(testAdminKey),
		Store:       settings.Store{Address: c.store.address, TimeoutMilliseconds: 1000},
		DataCentres: []string{"a", "b", "c"},
		Services:    []settings.Service{{Name: "orders", Calls: []settings.Call{{Name: "place", Path: "/place"}}}},
		Limits:      settings.Limits{EntryKeepSeconds: 1, FirstTokenSeconds: 30, StallSeconds: 30},
		Endpoints: []settings.Endpoint{{
			Name: "orders-1", DataCentre: "a", Address: c.service.address, Serves: []string{"orders"}, Slots: 8}},
	}
	for i := range 2 {
		e := startProcess(t, "standin", append([]string{"engine"}, engineArgs...)...)
		c.engines = append(c.engines, e)
		f.Endpoints = append(f.Endpoints, settings.Endpoint{
			Name: fmt.Sprint("engine-", i), DataCentre: "b", Address: e.address, Serves: []string{"m"}, Slots: 8})
	}
	for _, dc := range f.DataCentres {
		f.VMs = append(f.VMs, settings.VM{Name: "vm-" + dc, DataCentre: dc, Address: standin.FreeAddress(), Size: 1})
	}
	c.tree = settings.Tree{Fleet: f, Teams: []settings.Team{{
		Name: "team", Budget: testBudget, Accounts: []settings.Account{{Name: "desk", KeySHA256: settings.HashKey(testAPIKey)}}}}}
	text, err := settings.Format(c.tree)
	require.NoError(t, err)
	c.file = filepath.Join(t.TempDir(), "test.toml")
	require.NoError(t, os.WriteFile(c.file, text, 0o600))
	for i := range f.VMs {
		c.routers = append(c.routers, c.startRouter(t, i))
	}
	c.topUp(t, 0, "first", prepaid)
	c.waitForMembers(t)
	return c
}

func (c *cluster) startRouter(t *testing.T, i int) *process {
	return startProcess(t, "foxtaillanding", "router", "--settings", c.file, "--vm", c.tree.Fleet.VMs[i].Name, "--drain", waitTimeout.String())
}

// waitForMembers waits until every router lists all routers as alive.
func (c *cluster) waitForMembers(t *testing.T) {
	for i := range c.routers {
		require.Eventually(t, func() bool {
			alive := 0
			for _, m := range c.status(t, i).Members {
				if m.State == "Alive" {
					alive++
				}
			}
			return alive == len(c.routers)
		}, waitTimeout, 50*time.Millisecond)
	}
}

// send sends one HTTP request with a JSON body and returns the status and the body of the response. Status 0 means that no
// complete response arrived.
func send(method, url, key, idempotencyKey string, body any) (int, []byte) {
	text, _ := json.Marshal(body)
	req, err := http.NewRequest(method, url, bytes.NewReader(text))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set(chat.HeaderIdempotencyKey, idempotencyKey)
	}
	client := http.Client{Timeout: waitTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, answer
	}
	return resp.StatusCode, answer
}

func (c *cluster) status(t *testing.T, i int) operators.Status {
	code, body := send(http.MethodGet, "http://"+c.routers[i].address+operators.StatusPath, testAdminKey, "", nil)
	require.Equal(t, http.StatusOK, code, string(body))
	status, err := operators.DecodeStatus(body)
	require.NoError(t, err)
	return status
}

// topUp sends the same top-up to router i until it is confirmed; the tokens of an ID are added only once.
func (c *cluster) topUp(t *testing.T, i int, id string, tokens int64) {
	url := "http://" + c.routers[i].address + "/Admin/Budgets/" + testBudget + "/TopUps"
	require.Eventually(t, func() bool {
		code, _ := send(http.MethodPost, url, testAdminKey, "", operators.TopUp{ID: id, Tokens: tokens})
		return code == http.StatusOK
	}, waitTimeout, 50*time.Millisecond)
}

func (c *cluster) budget(t *testing.T) operators.BudgetState {
	code, body := send(http.MethodGet, "http://"+c.routers[0].address+"/Admin/Budgets/"+testBudget, testAdminKey, "", nil)
	require.Equal(t, http.StatusOK, code, string(body))
	var state operators.BudgetState
	require.NoError(t, json.Unmarshal(body, &state))
	return state
}

// setFaults replaces the faults of a stand-in.
func setFaults(t *testing.T, p *process, faults any) {
	code, body := send(http.MethodPut, "http://"+p.address+standin.FaultsPath, "", "", faults)
	require.Equal(t, http.StatusOK, code, string(body))
}

func prompt(text string, tokens int64) chat.Request {
	return chat.Request{Model: "m", MaxTokens: tokens, Messages: []chat.Message{{Role: "user", Content: text}}}
}

func (c *cluster) chat(i int, key string, request chat.Request) (int, []byte) {
	return send(http.MethodPost, "http://"+c.routers[i].address+chat.Path, testAPIKey, key, request)
}

func (c *cluster) order(i int, key string) (int, []byte) {
	return send(http.MethodPost, "http://"+c.routers[i].address+"/v1/services/orders/place", testAPIKey, key, map[string]string{"Order": key})
}

// tokensSent returns the number of tokens that all engines together have sent.
func (c *cluster) tokensSent(t *testing.T) int64 {
	var sum int64
	for _, e := range c.engines {
		_, body := send(http.MethodGet, "http://"+e.address+"/Counts", "", "", nil)
		var counts standin.EngineCounts
		require.NoError(t, json.Unmarshal(body, &counts))
		sum += counts.Tokens
	}
	return sum
}

// orderRuns returns how often each order ran, by path and body.
func (c *cluster) orderRuns(t *testing.T) map[string]int {
	_, body := send(http.MethodGet, "http://"+c.service.address+"/Counts", "", "", nil)
	runs := map[string]int{}
	require.NoError(t, json.Unmarshal(body, &runs))
	return runs
}

// words returns the content that a stand-in engine generates with n tokens.
func words(n int) string {
	var text strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&text, "w%d ", i)
	}
	return text.String()
}

func completion(t *testing.T, body []byte) chat.Completion {
	var parsed chat.Completion
	require.NoError(t, json.Unmarshal(body, &parsed), string(body))
	return parsed
}
