package endpoint

import (
	"slices"
	"time"
)

// poolBalancer is the balancer under test, which uses a Pool.
type poolBalancer struct {
	pool           Pool
	requests       map[string]*simRequest
	ignoreSuspects bool // Gives crashing requests distinct fingerprints and broadcasts no suspicions, so that no suspect is recognized.
}

func newPoolBalancer(sim *simulation, seed uint64) *poolBalancer {
	p := &poolBalancer{pool: Pool{Policy: Policy{Seed: seed}}, requests: map[string]*simRequest{}}
	p.handle(sim, Configured{sim.endpoints()})
	p.handle(sim, RoutersCounted{len(sim.balancers)})
	return p
}

func (p *poolBalancer) handle(sim *simulation, ev Event) {
	for _, action := range p.pool.Handle(sim.Now, ev) {
		switch action := action.(type) {
		case Send:
			sim.send(p.requests[action.ID], action.Endpoint)
		case Refuse:
			p.requests[action.ID].refused = action.Kind
		case BroadcastSuspect:
			for _, other := range sim.balancers {
				if other != balancer(p) && !p.ignoreSuspects {
					sim.After(5*time.Millisecond, func() { other.(*poolBalancer).handle(sim, SuspectReported(action)) })
				}
			}
		}
	}
}

func (p *poolBalancer) arrive(sim *simulation, req *simRequest) {
	p.requests[req.id] = req
	class, _ := ParseClass(req.Class)
	fingerprint := uint64(sim.Sequence)
	if req.crashes && !p.ignoreSuspects {
		fingerprint = 1
	}
	p.handle(sim, Submitted{Request{ID: req.id, Service: "m", Account: req.Account, Weight: req.Weight, Class: class, PromptTokens: req.PromptTokens,
		OutputTokens: req.Limit, Prefix: req.Prefix, Deadline: req.deadline(), Fingerprint: fingerprint, Repeatable: true}})
}

func (p *poolBalancer) first(sim *simulation, req *simRequest) { p.handle(sim, FirstToken{req.id}) }

func (p *poolBalancer) ended(sim *simulation, req *simRequest, died bool) {
	if !died {
		p.handle(sim, Ended{req.id, Finished, req.OutputTokens})
		return
	}
	p.handle(sim, Ended{req.id, Died, 0})
	p.handle(sim, Retried{req.id})
}

func (p *poolBalancer) report(sim *simulation, name string, l Load, events []CacheUpdated) {
	p.handle(sim, LoadReported{name, l})
	for _, ev := range events {
		p.handle(sim, ev)
	}
}

func (p *poolBalancer) tick(sim *simulation) { p.handle(sim, Tick{}) }

// simpleBalancer is a baseline without a queue or admission control. It sends each
// request to the engine that pick returns, with up to three attempts.
type simpleBalancer struct {
	pick     func(s *simpleBalancer, sim *simulation, req *simRequest) string
	inFlight map[string]int
	reports  map[string]Load
	sentTo   map[string]string // Engine by request ID.
	attempts map[string]int    // Ended attempts by request ID.
	next     int
}

func (s *simpleBalancer) arrive(sim *simulation, req *simRequest) {
	name := s.pick(s, sim, req)
	s.inFlight[name]++
	s.sentTo[req.id] = name
	sim.send(req, name)
}

func (s *simpleBalancer) first(*simulation, *simRequest) {}

func (s *simpleBalancer) ended(sim *simulation, req *simRequest, died bool) {
	s.inFlight[s.sentTo[req.id]]--
	s.attempts[req.id]++
	if died && s.attempts[req.id] < 3 {
		s.arrive(sim, req)
	}
}

func (s *simpleBalancer) report(_ *simulation, name string, l Load, _ []CacheUpdated) {
	s.reports[name] = l
}
func (s *simpleBalancer) tick(*simulation) {}

func newSimple(pick func(*simpleBalancer, *simulation, *simRequest) string) *simpleBalancer {
	return &simpleBalancer{pick: pick, inFlight: map[string]int{}, reports: map[string]Load{}, sentTo: map[string]string{}, attempts: map[string]int{}}
}

func roundRobin(s *simpleBalancer, sim *simulation, _ *simRequest) string {
	s.next++
	return sim.names[s.next%len(sim.names)]
}

func leastInFlight(s *simpleBalancer, sim *simulation, _ *simRequest) string {
	return slices.MinFunc(sim.names, func(x, y string) int { return s.inFlight[x] - s.inFlight[y] })
}

// twoChoices picks the one of two random engines with the lower expected time to the first token.
func twoChoices(s *simpleBalancer, sim *simulation, req *simRequest) string {
	cost := func(name string) float64 {
		e := sim.engines[name]
		busy := float64(max(s.inFlight[name], s.reports[name].Running+s.reports[name].Waiting))
		wait := max(0, busy+1-float64(e.Slots)) / float64(e.Slots) * float64(req.Limit) / e.TokensPerSecond
		return wait + float64(req.PromptTokens)/e.PromptTokensPerSecond
	}
	x, y := sim.names[sim.random.IntN(len(sim.names))], sim.names[sim.random.IntN(len(sim.names))]
	if cost(x) <= cost(y) {
		return x
	}
	return y
}
