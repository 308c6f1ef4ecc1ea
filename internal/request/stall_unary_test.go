package request

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
)

// late returns an answer that begins after a pause.
func late(pause time.Duration) func(*received) {
	return func(x *received) {
		time.Sleep(pause)
		x.answer()
	}
}

// onceArrived calls a function when a request has arrived.
func onceArrived(t *testing.T, arrived <-chan struct{}, call func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-arrived
		call()
	}()
	t.Cleanup(func() { <-done })
}

// TestLateAnswerOfTheOnlyEndpointIsWaitedFor lets the only endpoint of a request begin its answer after several stall periods.
func TestLateAnswerOfTheOnlyEndpointIsWaitedFor(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{})
	e := startEndpoint(t, "e", late(testPause))
	configure(f, e)
	out := f.Forward(newStallRequest("run", stallTerms))
	require.Nil(t, out.Refusal)
	require.Equal(t, http.StatusOK, out.Status)
	require.EqualValues(t, 1, e.count.Load())
}

// TestLateAnswerWithoutStallTimeoutIsWaitedFor is the same with the silence derived from the deadline.
func TestLateAnswerWithoutStallTimeoutIsWaitedFor(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{RetryReserve: 0.5})
	e := startEndpoint(t, "e", late(700*time.Millisecond))
	configure(f, e)
	terms := stallTerms
	terms.StallTimeout = 0
	req := newStallRequest("run", terms)
	req.Deadline = time.Now().Add(time.Second)
	out := f.Forward(req)
	require.Nil(t, out.Refusal)
	require.EqualValues(t, 1, e.count.Load())
}

// TestLateStreamIsWaitedFor lets the first event of a stream come late, beside an endpoint that is down.
func TestLateStreamIsWaitedFor(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{})
	down := refusingEndpoint(t, "down")
	arrived := make(chan struct{})
	e := startEndpoint(t, "e", func(x *received) {
		close(arrived)
		late(testPause)(x)
	})
	configure(f, e)
	onceArrived(t, arrived, func() { configure(f, e, down) })
	readStream(t, f.Forward(newStallRequest("run", streamTerms())), func() {})
	require.EqualValues(t, 1, e.count.Load())
}

// TestRequestMovesFromASilentEndpoint lets an endpoint never answer, while another one becomes available.
func TestRequestMovesFromASilentEndpoint(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{})
	hung := make(chan *received, 1)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	arrived := make(chan struct{})
	first := startEndpoint(t, "first", func(x *received) {
		hung <- x
		close(arrived)
		<-ended
	})
	var together atomic.Bool
	second := startEndpoint(t, "second", func(x *received) {
		together.Store(!(<-hung).closed(t))
		x.answer()
	})
	configure(f, first)
	onceArrived(t, arrived, func() { configure(f, first, second) })
	out := f.Forward(newStallRequest("run", stallTerms))
	require.Nil(t, out.Refusal)
	require.Equal(t, http.StatusOK, out.Status)
	require.Equal(t, "second", out.Endpoint)
	require.Equal(t, 2, out.Attempts)
	require.False(t, together.Load(), "both endpoints were at work at once")
}

// TestRequestThatIsNotRepeatableStays lets another endpoint be free while that of the request is silent.
func TestRequestThatIsNotRepeatableStays(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{})
	other := startEndpoint(t, "other", (*received).answer)
	arrived := make(chan struct{})
	e := startEndpoint(t, "e", func(x *received) {
		close(arrived)
		late(testPause)(x)
	})
	configure(f, e)
	onceArrived(t, arrived, func() { configure(f, e, other) })
	terms := stallTerms
	terms.Repeatable = false
	terms.StallTimeout = 0
	out := f.Forward(newStallRequest("run", terms))
	require.Nil(t, out.Refusal)
	require.Equal(t, "e", out.Endpoint)
	require.Zero(t, other.count.Load())
}

// readStreams makes n requests at a time and reads their streams.
func readStreams(t *testing.T, f *Forwarder, n int) {
	results := make(chan error, n)
	for i := range n {
		go func() {
			results <- readEvents(f.Forward(newStallRequest("run-"+strings.Repeat("x", i), streamTerms())), func() {})
		}()
	}
	for range n {
		require.NoError(t, <-results)
	}
}

// TestStreamsSurviveAPauseOfAllEndpoints lets three endpoints with several streams pause at once.
func TestStreamsSurviveAPauseOfAllEndpoints(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{RetryReserve: 5})
	configure(f, startEndpoint(t, "a", pausing(testPause)), startEndpoint(t, "b", pausing(testPause)), startEndpoint(t, "c", pausing(testPause)))
	readStreams(t, f, 12)
}

// TestEventsAtTheMomentOfAMoveArriveOnce lets endpoints pause for about as long as the router waits.
func TestEventsAtTheMomentOfAMoveArriveOnce(t *testing.T) {
	f := newStallForwarder(endpoint.Policy{RetryReserve: 1000, SlotTolerance: 10})
	var turn atomic.Int64
	serve := func(x *received) {
		x.head()
		_ = x.events(1, 3)
		time.Sleep(testStall + time.Duration(turn.Add(1)%11-5)*time.Millisecond)
		_ = x.events(4, testEvents)
		x.end()
	}
	configure(f, startEndpoint(t, "a", serve), startEndpoint(t, "b", serve))
	readStreams(t, f, 60)
}

// TestRequestWithoutAnAlternativeIsWaitedFor lets the answers to a request that must not be repeated, and to one that is sent
// to a fixed address, begin after several stall periods. Nothing else could answer them.
func TestRequestWithoutAnAlternativeIsWaitedFor(t *testing.T) {
	t.Run("not repeatable", func(t *testing.T) {
		f := newStallForwarder(endpoint.Policy{})
		e := startEndpoint(t, "e", late(testPause))
		configure(f, e)
		terms := stallTerms
		terms.Repeatable = false
		out := f.Forward(newStallRequest("run", terms))
		require.Nil(t, out.Refusal)
		require.Equal(t, http.StatusOK, out.Status)
	})
	t.Run("fixed address", func(t *testing.T) {
		f := newStallForwarder(endpoint.Policy{})
		e := startEndpoint(t, "e", pausing(testPause))
		terms := streamTerms()
		terms.Repeatable = false
		terms.Resumable = false
		readStream(t, f.ForwardTo(newStallRequest("run", terms), e.config.Address), func() {})
	})
}
