package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	platformstandin "github.com/foxtaillanding/foxtaillanding/platform/standin"
)

// Config is the configuration of a run.
type Config struct {
	Binaries string // Directory of the programs foxtaillanding and standin.
	Dir      string // Directory for settings and logs.
	Seed     uint64
	Cycles   int
	Routers  int
	Servers  int
	Callers  int       // Concurrent callers.
	Pauses   bool      // Servers are paused, or full and send responses twice, beside the other faults.
	Log      io.Writer // Log of the injected faults and of errors of the run; nil discards it.
}

// Times of a cycle.
const (
	faultTime   = 8 * time.Second // Time during which faults are injected.
	settleTime  = 6 * time.Second // Time from the end of all faults until the fleet must serve.
	checkTime   = 4 * time.Second // Time during which the fleet must serve.
	drainTime   = 2 * time.Second // Time after which a draining server must be idle.
	lateRunTime = 6 * time.Second // Time after the last cycle during which a refused request could still run.
)

// minServedRatio is the minimum fraction of requests that must be served after all faults are cleared.
const minServedRatio = 0.9

// Report is the result of a run.
type Report struct {
	Calls    int
	Served   int      // Calls answered with status 200.
	TakenUp  int      // Calls that took up a broken stream.
	GoneOn   int      // Those of them that got the rest of it.
	Problems []string // Violations and failures; empty if the run passed.
}

// Run carries out one run; an error means that the fleet could not be started.
func Run(ctx context.Context, cfg Config) (Report, error) {
	f, err := newFleet(cfg)
	defer f.stop()
	if err != nil {
		return Report{}, err
	}
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	c := &callers{fleet: f}
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for n := range cfg.Callers {
		wg.Go(func() { c.run(callCtx, n, cfg.Seed) })
	}
	var problems []string
	for range cfg.Cycles {
		problems = append(problems, runCycle(ctx, f, c, random)...)
	}
	stop()
	wg.Wait()
	sleep(ctx, lateRunTime)
	problems = append(problems, checkInvariants(f, c)...)
	takenUp, goneOn := c.takenUp()
	return Report{Calls: len(c.calls), Served: c.served(), TakenUp: takenUp, GoneOn: goneOn, Problems: problems}, nil
}

// runCycle injects faults, clears them, and checks that the fleet serves requests and sends none to a draining server.
func runCycle(ctx context.Context, f *fleet, c *callers, random *rand.Rand) []string {
	faultCtx, cancel := context.WithTimeout(ctx, faultTime)
	defer cancel()
	injectAll(faultCtx, f, random)
	if err := f.awaitReady(); err != nil {
		return []string{err.Error()}
	}
	sleep(ctx, settleTime)
	leaving := pick(random, f.servers)
	f.logf("%s drains", leaving.id)
	f.register(leaving, true)
	from := time.Now()
	sleep(ctx, drainTime)
	idleFrom := time.Now()
	sleep(ctx, checkTime-drainTime)
	problems := c.checkServing(from)
	runs, err := readRuns(leaving)
	if err != nil {
		problems = append(problems, err.Error())
	}
	for id, run := range runs {
		if time.UnixMilli(run.Last).After(idleFrom) {
			problems = append(problems, fmt.Sprintf("%s ran at %s %v after the server began to drain", id, leaving.id, time.UnixMilli(run.Last).Sub(from)))
		}
	}
	leaving.startedAt++ // It comes back as after a restart, since an endpoint does not take its leave back.
	f.register(leaving, false)
	return problems
}

// checkServing checks that enough of the requests sent since from were served.
//
// It considers only the account rich, whose budget is never exhausted, and no streams that their callers broke off.
func (c *callers) checkServing(from time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, total := 0, 0
	statuses := map[int]int{}
	for _, call := range c.calls {
		brokenOff := call.leaves > 0 && call.events == call.leaves
		if call.sent.Before(from) || call.account != "rich" || brokenOff {
			continue
		}
		total++
		statuses[call.status]++
		if call.status == http.StatusOK {
			served++
		}
	}
	if total == 0 || float64(served) < minServedRatio*float64(total) {
		return []string{fmt.Sprintf("%d of %d requests served after all faults were cleared; statuses: %v", served, total, statuses)}
	}
	return nil
}

// served returns the number of calls answered with status 200.
func (c *callers) served() int {
	n := 0
	for _, call := range c.calls {
		if call.status == http.StatusOK {
			n++
		}
	}
	return n
}

// takenUp returns the number of calls that took up a broken stream, and of those that got the rest of it.
func (c *callers) takenUp() (all, goneOn int) {
	for _, call := range c.calls {
		if call.resumes == "" {
			continue
		}
		all++
		if call.status == http.StatusOK {
			goneOn++
		}
	}
	return all, goneOn
}

// readRuns fetches the runs of a server, keyed by the ID of the request.
func readRuns(s *server) (map[string]platformstandin.Run, error) {
	client := http.Client{Timeout: 10 * time.Second}
	resp, err := client.Get("http://" + s.proc.address + platformstandin.RunsPath)
	if err != nil {
		return nil, errors.Wrapf(err, "fetching the runs of %s", s.id)
	}
	defer func() { _ = resp.Body.Close() }()
	var runs map[string]platformstandin.Run
	return runs, errors.Wrapf(json.NewDecoder(resp.Body).Decode(&runs), "decoding the runs of %s", s.id)
}

// checkInvariants checks all calls of a run for what must hold under any fault.
func checkInvariants(f *fleet, c *callers) []string {
	runCounts := map[string]int{}
	var problems []string
	for _, s := range f.servers {
		if s.proc.ended() {
			problems = append(problems, fmt.Sprintf("%s has ended: %v", s.id, s.proc.cmd.ProcessState))
		}
		runs, err := readRuns(s)
		if err != nil {
			problems = append(problems, err.Error())
		}
		for id, run := range runs {
			runCounts[id] += run.Times
		}
	}
	spent := map[string]int64{}
	for _, call := range c.calls {
		problems = append(problems, call.check(runCounts[call.id])...)
		if call.kind.streams() && runCounts[call.id] > 0 {
			spent[call.account] += promptTokens + int64(call.events)
		}
	}
	for name, tokens := range spent {
		if limit := prepaid(name, f.version.Load()); tokens > limit {
			problems = append(problems, fmt.Sprintf("%s spent %d of %d tokens", name, tokens, limit))
		}
	}
	problems = append(problems, c.checkVersions()...)
	slices.Sort(problems)
	return problems
}

// statusesNotRun are the statuses that tell a caller that its request did not run and never will.
var statusesNotRun = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// check checks one call, which the servers ran runCount times.
func (c *callRecord) check(runCount int) []string {
	var problems []string
	add := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf("%s %s at %s: ", c.kind, c.id, c.router.name)+fmt.Sprintf(format, args...))
	}
	if c.problem != "" {
		add("%s", c.problem)
	}
	if !c.kind.repeatable() && runCount > 1 {
		add("ran %d times", runCount)
	}
	if !c.kind.repeatable() && runCount > 0 && slices.Contains(statusesNotRun, c.status) {
		add("refused with status %d but ran", c.status)
	}
	if c.status == http.StatusOK && runCount == 0 {
		add("answered with status 200 but never ran")
	}
	if c.status == http.StatusUnauthorized || c.status == http.StatusBadRequest {
		add("unexpected status %d", c.status)
	}
	return problems
}

// checkVersions checks that no incarnation of a router reverts to an older version of the configuration.
//
// A violation is a 404 for the route of a version that is at most the highest version whose route it has served.
func (c *callers) checkVersions() []string {
	type incarnation struct {
		router *router
		gen    int64
	}
	highest := map[incarnation]int64{}
	var problems []string
	calls := slices.Clone(c.calls)
	slices.SortFunc(calls, func(a, b *callRecord) int { return a.sent.Compare(b.sent) })
	for _, call := range calls {
		key := incarnation{call.router, call.gen}
		switch {
		case call.kind != probe:
		case call.status == http.StatusOK:
			highest[key] = max(highest[key], call.version)
		case call.status == http.StatusNotFound && call.version <= highest[key]:
			problems = append(problems, fmt.Sprintf("%s reverted from version %d of the configuration", call.router.name, highest[key]))
		}
	}
	return problems
}
