package endpoint

import (
	"slices"
	"time"
)

// poolBalancer is the Pool of this package.
type poolBalancer struct {
	pool    Pool
	flights map[string]*flight
	blind   bool // Suspects are not recognized.
}

func newPoolBalancer(b *bench, seed uint64) *poolBalancer {
	p := &poolBalancer{pool: Pool{Policy: Policy{Seed: seed}}, flights: map[string]*flight{}}
	p.handle(b, Configured{b.endpoints()})
	p.handle(b, RoutersCounted{len(b.router)})
	return p
}

func (p *poolBalancer) handle(b *bench, ev Event) {
	for _, action := range p.pool.Handle(b.now, ev) {
		switch action := action.(type) {
		case Send:
			b.send(p.flights[action.ID], action.Endpoint)
		case Refuse:
			p.flights[action.ID].refused = action.Kind
		case TellSuspect:
			for _, other := range b.router {
				if other != balancer(p) && !p.blind {
					b.after(5*time.Millisecond, func() { other.(*poolBalancer).handle(b, SuspectHeard(action)) })
				}
			}
		}
	}
}

func (p *poolBalancer) arrive(b *bench, f *flight) {
	p.flights[f.id] = f
	class, _ := ParseClass(f.Class)
	fingerprint := uint64(b.seq)
	if f.bad && !p.blind {
		fingerprint = 1
	}
	p.handle(b, Submitted{Request{ID: f.id, Serves: "m", Account: f.Account, Weight: f.Weight, Class: class, PromptTokens: f.PromptTokens,
		OutputTokens: f.Limit, Prefix: f.Prefix, Deadline: f.deadline(), Fingerprint: fingerprint, Repeatable: true}})
}

func (p *poolBalancer) first(b *bench, f *flight) { p.handle(b, FirstToken{f.id}) }

func (p *poolBalancer) ended(b *bench, f *flight, died bool) {
	if !died {
		p.handle(b, Ended{f.id, Finished, f.OutputTokens})
		return
	}
	p.handle(b, Ended{f.id, Died, 0})
	p.handle(b, Retried{f.id})
}

func (p *poolBalancer) report(b *bench, name string, l Load, events []CacheSeen) {
	p.handle(b, Reported{name, l})
	for _, ev := range events {
		p.handle(b, ev)
	}
}

func (p *poolBalancer) tick(b *bench) { p.handle(b, Tick{}) }

// simpleBalancer is a baseline without queue or admission; pick chooses among the engines.
type simpleBalancer struct {
	pick     func(s *simpleBalancer, b *bench, f *flight) string
	inFlight map[string]int
	reports  map[string]Load
	on       map[string]string
	tries    map[string]int
	next     int
}

func (s *simpleBalancer) arrive(b *bench, f *flight) {
	name := s.pick(s, b, f)
	s.inFlight[name]++
	s.on[f.id] = name
	b.send(f, name)
}

func (s *simpleBalancer) first(*bench, *flight) {}

func (s *simpleBalancer) ended(b *bench, f *flight, died bool) {
	s.inFlight[s.on[f.id]]--
	s.tries[f.id]++
	if died && s.tries[f.id] < 3 {
		s.arrive(b, f)
	}
}

func (s *simpleBalancer) report(_ *bench, name string, l Load, _ []CacheSeen) { s.reports[name] = l }
func (s *simpleBalancer) tick(*bench)                                         {}

func newSimple(pick func(*simpleBalancer, *bench, *flight) string) *simpleBalancer {
	return &simpleBalancer{pick: pick, inFlight: map[string]int{}, reports: map[string]Load{}, on: map[string]string{}, tries: map[string]int{}}
}

func roundRobin(s *simpleBalancer, b *bench, _ *flight) string {
	s.next++
	return b.names[s.next%len(b.names)]
}

func leastInFlight(s *simpleBalancer, b *bench, _ *flight) string {
	return slices.MinFunc(b.names, func(x, y string) int { return s.inFlight[x] - s.inFlight[y] })
}

// twoChoices compares two random engines by the expected time to the first token.
func twoChoices(s *simpleBalancer, b *bench, f *flight) string {
	cost := func(name string) float64 {
		e := b.engines[name]
		busy := float64(max(s.inFlight[name], s.reports[name].Running+s.reports[name].Waiting))
		wait := max(0, busy+1-float64(e.Slots)) / float64(e.Slots) * float64(f.Limit) / e.TokensPerSecond
		return wait + float64(f.PromptTokens)/e.PromptPerSecond
	}
	x, y := b.names[b.random.IntN(len(b.names))], b.names[b.random.IntN(len(b.names))]
	if cost(x) <= cost(y) {
		return x
	}
	return y
}
