package endpoint

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pathPool is a pool with the endpoints a, b and c.
type pathPool struct {
	*Pool

	now time.Time
	ids int
}

func newPathPool() *pathPool {
	p := &pathPool{Pool: &Pool{}, now: start}
	p.Handle(p.now, Configured{[]Endpoint{
		{Name: "a", Serves: []string{"m"}, Slots: 4}, {Name: "b", Serves: []string{"m"}, Slots: 4}, {Name: "c", Serves: []string{"m"}, Slots: 4},
	}})
	return p
}

// attempt submits requests until one is sent to an endpoint, ends that one with the outcome and returns the actions.
func (p *pathPool) attempt(t *testing.T, name string, outcome Outcome) []Action {
	var others []string
	defer func() {
		for _, id := range others {
			p.Handle(p.now, Ended{ID: id, Outcome: Abandoned})
		}
	}()
	for range 12 {
		p.ids++
		id := strconv.Itoa(p.ids)
		actions := p.Handle(p.now, Submitted{Request{ID: id, Service: "m", Deadline: p.now.Add(10 * time.Second), Fingerprint: uint64(p.ids)}})
		send, ok := actions[0].(Send)
		require.True(t, ok, "%T", actions[0])
		if send.Endpoint == name {
			return p.Handle(p.now, Ended{ID: id, Outcome: outcome})
		}
		others = append(others, id)
	}
	require.FailNow(t, "nothing was sent to the endpoint", name)
	return nil
}

func (p *pathPool) down() map[string]bool {
	down := map[string]bool{}
	for _, v := range p.Views(p.now) {
		if v.Down || p.backends[v.Name].silent() {
			down[v.Name] = true
		}
	}
	return down
}

func TestBreakOfThePathAccusesNobody(t *testing.T) {
	p := newPathPool()
	require.Empty(t, p.attempt(t, "a", CutOff))
	require.Empty(t, p.Suspicions())
	require.Empty(t, p.down())

	require.NotEmpty(t, p.attempt(t, "a", Died))
	require.Len(t, p.Suspicions(), 1)
}

func TestEjectionsOfTheCutEndWithIt(t *testing.T) {
	for _, outcome := range []Outcome{Died, Silent, Rejected} {
		p := newPathPool()
		p.Handle(p.now, CacheUpdated{Endpoint: "b", Prefix: 7})
		p.attempt(t, "c", Died) // Before the cut.
		p.now = p.now.Add(100 * time.Millisecond)
		since := p.now
		p.attempt(t, "a", outcome)
		p.attempt(t, "b", outcome)
		p.Handle(p.now, ConnectionRefused{Endpoint: "b"})
		require.Equal(t, map[string]bool{"a": true, "b": true, "c": true}, p.down(), outcome)
		p.now = p.now.Add(300 * time.Millisecond)
		p.Handle(p.now, PathLost{Since: since})
		p.attempt(t, "a", outcome)
		p.now = p.now.Add(50 * time.Millisecond)
		p.Handle(p.now, PathRestored{})
		require.Equal(t, map[string]bool{"c": true}, p.down(), outcome)
		b := p.backends["b"]
		require.True(t, b.prefixes.Contains(7), outcome)
		require.Zero(t, b.deaths, outcome)
		require.Zero(t, b.downAt, outcome)
	}
}

func TestEjectionsWithoutACutStay(t *testing.T) {
	p := newPathPool()
	p.Handle(p.now, CacheUpdated{Endpoint: "a", Prefix: 7})
	p.attempt(t, "a", Died)
	p.Handle(p.now, PathRestored{})
	require.Equal(t, map[string]bool{"a": true}, p.down())
	require.False(t, p.backends["a"].prefixes.Contains(7))
}
