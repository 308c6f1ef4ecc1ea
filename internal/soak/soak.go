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

// Config is what a run is made of.
type Config struct {
	Binaries string // Directory of the programs foxtaillanding and standin.
	Dir      string // For settings and logs.
	Seed     uint64
	Cycles   int
	Routers  int
	Servers  int
	Callers  int
	Log      io.Writer // Of what the run does; nil discards.
}

// Times of a cycle.
const (
	disturbed = 8 * time.Second
	settles   = 6 * time.Second // After all is healed, before the fleet must serve.
	judged    = 4 * time.Second // In which it must serve.
	drainTime = 2 * time.Second // After which a draining server must be idle.
	lateRuns  = 6 * time.Second // In which a request that was refused could still run.
)

// servedPart is the part of the requests that must be served once all is healed.
const servedPart = 0.9

// Report is what a run found.
type Report struct {
	Calls    int
	Served   int
	Problems []string
}

// Run makes one run; an error tells that it could not be made.
func Run(ctx context.Context, cfg Config) (Report, error) {
	f, err := newFleet(cfg)
	defer f.stop()
	if err != nil {
		return Report{}, err
	}
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	c := &callers{fleet: f}
	calling, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	for n := range cfg.Callers {
		all.Go(func() { c.run(calling, n, cfg.Seed) })
	}
	var problems []string
	for range cfg.Cycles {
		problems = append(problems, cycle(ctx, f, c, random)...)
	}
	stop()
	all.Wait()
	wait(ctx, lateRuns)
	problems = append(problems, judge(f, c)...)
	return Report{len(c.calls), c.served(), problems}, nil
}

// cycle disturbs the fleet, heals it and looks whether it serves and lets a draining server alone.
func cycle(ctx context.Context, f *fleet, c *callers, random *rand.Rand) []string {
	phase, cancel := context.WithTimeout(ctx, disturbed)
	defer cancel()
	disturb(phase, f, random)
	if err := f.awaitReady(); err != nil {
		return []string{err.Error()}
	}
	wait(ctx, settles)
	leaving := pick(random, f.servers)
	f.say("%s drains", leaving.id)
	f.enter(leaving, true)
	from := time.Now()
	wait(ctx, drainTime)
	idleFrom := time.Now()
	wait(ctx, judged-drainTime)
	problems := c.judgeCalm(from)
	runs, err := readRuns(leaving)
	if err != nil {
		problems = append(problems, err.Error())
	}
	for id, run := range runs {
		if time.UnixMilli(run.Last).After(idleFrom) {
			problems = append(problems, fmt.Sprintf("%s ran at %s %v after it drained", id, leaving.id, time.UnixMilli(run.Last).Sub(from)))
		}
	}
	f.enter(leaving, false)
	return problems
}

// judgeCalm looks whether the requests since a time were served.
func (c *callers) judgeCalm(from time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, asked := 0, 0
	statuses := map[int]int{}
	for _, one := range c.calls {
		if one.sent.Before(from) || one.account != "rich" {
			continue
		}
		asked++
		statuses[one.status]++
		if one.status == http.StatusOK {
			served++
		}
	}
	if asked == 0 || float64(served) < servedPart*float64(asked) {
		return []string{fmt.Sprintf("%d of %d requests served once all was healed: %v", served, asked, statuses)}
	}
	return nil
}

func (c *callers) served() int {
	n := 0
	for _, one := range c.calls {
		if one.status == http.StatusOK {
			n++
		}
	}
	return n
}

func readRuns(s *server) (map[string]platformstandin.Run, error) {
	client := http.Client{Timeout: 10 * time.Second}
	resp, err := client.Get("http://" + s.proc.address + platformstandin.RunsPath)
	if err != nil {
		return nil, errors.Wrapf(err, "asking %s for its runs", s.id)
	}
	defer func() { _ = resp.Body.Close() }()
	var runs map[string]platformstandin.Run
	return runs, errors.Wrapf(json.NewDecoder(resp.Body).Decode(&runs), "reading the runs of %s", s.id)
}

// judge checks what must hold whatever the faults were.
func judge(f *fleet, c *callers) []string {
	times := map[string]int{}
	var problems []string
	for _, s := range f.servers {
		runs, err := readRuns(s)
		if err != nil {
			problems = append(problems, err.Error())
		}
		for id, run := range runs {
			times[id] += run.Times
		}
	}
	spent := map[string]int64{}
	for _, one := range c.calls {
		problems = append(problems, one.judge(times[one.id])...)
		if one.kind == stream && times[one.id] > 0 {
			spent[one.account] += promptTokens + int64(one.events)
		}
	}
	for name, tokens := range spent {
		if most := paid(name, f.version.Load()); tokens > most {
			problems = append(problems, fmt.Sprintf("%s spent %d of %d tokens", name, tokens, most))
		}
	}
	problems = append(problems, c.judgeVersions()...)
	slices.Sort(problems)
	return problems
}

// judge checks one call against how often it ran.
func (c *call) judge(times int) []string {
	var problems []string
	add := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf("%s %s at %s: ", c.kind, c.id, c.router.name)+fmt.Sprintf(format, args...))
	}
	if c.problem != "" {
		add("%s", c.problem)
	}
	if c.kind == order && times > 1 {
		add("ran %d times", times)
	}
	promised := c.status == http.StatusTooManyRequests || c.status == http.StatusServiceUnavailable
	if promised && !c.sealed && times > 0 && c.kind == order {
		add("answered with %d and ran", c.status)
	}
	if c.status == http.StatusOK && times == 0 {
		add("answered and never ran")
	}
	if c.status == http.StatusUnauthorized || c.status == http.StatusBadRequest {
		add("answered with %d", c.status)
	}
	return problems
}

// judgeVersions looks for a router that served the route of a version and did not know it later.
func (c *callers) judgeVersions() []string {
	type incarnation struct {
		router *router
		gen    int64
	}
	known := map[incarnation]int64{}
	var problems []string
	calls := slices.Clone(c.calls)
	slices.SortFunc(calls, func(a, b *call) int { return a.sent.Compare(b.sent) })
	for _, one := range calls {
		key := incarnation{one.router, one.gen}
		switch {
		case one.kind != probe:
		case one.status == http.StatusOK:
			known[key] = max(known[key], one.version)
		case one.status == http.StatusNotFound && one.version <= known[key]:
			problems = append(problems, fmt.Sprintf("%s forgot version %d of the configuration", one.router.name, known[key]))
		}
	}
	return problems
}
