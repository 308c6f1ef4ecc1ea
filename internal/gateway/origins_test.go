package gateway

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/origin"
	"github.com/foxtaillanding/foxtaillanding/internal/placement"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/endpoint"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
)

// faultyStore is a store in memory with leases and faults.
type faultyStore struct {
	keyvalue.Memory
	keyvalue.Feed
	keyvalue.Leases

	mu         sync.Mutex
	err        error         // Of all calls, which have no effect; guarded by mu.
	loseAnswer bool          // The next write takes effect without an answer; guarded by mu.
	hang       chan struct{} // Reads wait until it is closed; nil if they do not; guarded by mu.
	ended      bool          // The lease has ended; guarded by mu.
	lease      uint64        // The last lease; guarded by mu.
	reads      int           // Guarded by mu.
}

func (s *faultyStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *faultyStore) Put(ctx context.Context, put keyvalue.Put) (keyvalue.WriteResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil:
		return keyvalue.WriteResult{Outcome: budget.NoEffect}, s.err
	case s.ended || put.Lease != s.lease:
		return keyvalue.WriteResult{Outcome: budget.NoEffect}, keyvalue.ErrLeaseEnded
	}
	written, err := s.Memory.Put(ctx, put)
	if err == nil && written.Outcome == budget.NoEffect {
		if current, _ := s.Get(ctx, put.Key); current.Version != 0 {
			written.Current = &current
		}
	}
	if s.loseAnswer {
		s.loseAnswer = false
		return keyvalue.WriteResult{Outcome: budget.OutcomeUnknown}, keyvalue.ErrUnavailable
	}
	return written, err
}

func (s *faultyStore) Grant(context.Context, time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	s.ended = false
	s.lease++
	return s.lease, nil
}

func (s *faultyStore) Renew(context.Context, uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return keyvalue.ErrLeaseEnded
	}
	return s.err
}

func (s *faultyStore) Range(ctx context.Context, prefix string, onPage func([]keyvalue.Entry)) ([]keyvalue.Entry, uint64, error) {
	s.mu.Lock()
	s.reads++
	err, hang := s.err, s.hang
	s.mu.Unlock()
	if hang != nil {
		<-hang
	}
	if err != nil {
		return nil, 0, err
	}
	entries, err := s.List(ctx, prefix)
	return entries, 1, err
}

// originFleet is a router with endpoints of two versions before a store with faults.
type originFleet struct {
	*Gateway

	store *faultyStore
	lines *observer.ObservedLogs
}

func newOriginFleet(t *testing.T, store *faultyStore) *originFleet {
	return newOriginFleetOn(t, "vm-1", store)
}

// newOriginFleetOn is like newOriginFleet, with the router on another VM.
func newOriginFleetOn(t *testing.T, vm string, store *faultyStore) *originFleet {
	core, lines := observer.New(zap.InfoLevel)
	settings := Settings{VM: vm, DataCentre: "z1", Store: StoreSettings{WritesPerSecond: 400, ReadsPerSecond: 2000}}
	g, err := New(Config{Settings: settings, Dialect: entryDialect{}, Store: store, Log: zap.New(core)})
	require.NoError(t, err)
	g.table.Store(route.NewTable(route.Configuration{Version: 1}))
	f := &originFleet{g, store, lines}
	f.configure("v1", "v2")
	return f
}

// configure replaces the endpoints.
func (f *originFleet) configure(versions ...string) {
	var configs []placement.EndpointConfig
	for i, version := range versions {
		e := endpoint.Endpoint{Name: strconv.Itoa(i), Serves: []string{"s"}, Version: version, Slots: 1}
		configs = append(configs, placement.EndpointConfig{Endpoint: e, Address: "a:1"})
	}
	f.endpoints.Configure(time.Now(), configs, nil)
}

// begin records that a stream begins here.
func (f *originFleet) begin(stream, version string) {
	f.origins.Registry.Began(time.Now(), origin.Origin{Stream: stream, Service: "s", Version: version})
}

// logged returns the number of lines with an event.
func (f *originFleet) logged(event string) int { return f.lines.FilterMessage(event).Len() }

// version returns the version that the rows in the store name for a stream, or the empty string if it is not known.
func (f *originFleet) storedVersion(t *testing.T, stream string) string {
	entries, err := f.store.List(t.Context(), originPrefix)
	require.NoError(t, err)
	index := &origin.Index{}
	for _, e := range entries {
		row, err := origin.DecodeRow(e.Value)
		require.NoError(t, err)
		index.Add(row, false)
	}
	return index.Find(stream).Origin.Version
}

const late = time.Hour // After which every write is due, and the lease has ended.

// TestRowIsWrittenDespiteFaultsOfTheStore lets writes fail in each way, one after the other.
func TestRowIsWrittenDespiteFaultsOfTheStore(t *testing.T) {
	f := newOriginFleet(t, &faultyStore{})
	now := time.Now()
	next := func(stream string) {
		f.begin(stream, "v1")
		now = now.Add(2 * time.Second)
		f.originRow.step(now)
	}
	next("first")
	require.Equal(t, "v1", f.storedVersion(t, "first"))

	for _, err := range []error{keyvalue.ErrLimited, keyvalue.ErrUnavailable} {
		f.store.set(func() { f.store.err = err })
		next("refused")
		next("refused again")
		require.Empty(t, f.storedVersion(t, "refused"))
		f.store.set(func() { f.store.err = nil })
		next("after the refusal")
		require.Equal(t, "v1", f.storedVersion(t, "refused"))
		f.origins.Registry.Ended("refused")
		now = now.Add(time.Minute)
		f.originRow.step(now)
		now = now.Add(time.Minute)
		f.originRow.step(now)
		require.Empty(t, f.storedVersion(t, "refused"))
	}
	require.Equal(t, 2, f.logged("origins not written"), "one line for each outage")
	require.Equal(t, 2, f.logged("origins written again"))

	f.store.set(func() { f.store.loseAnswer = true })
	next("without an answer")
	next("after the lost answer")
	require.Equal(t, "v1", f.storedVersion(t, "after the lost answer"))

	f.store.set(func() { f.store.ended = true })
	next("after the end of the lease")
	require.Equal(t, "v1", f.storedVersion(t, "after the end of the lease"))
	require.Equal(t, "v1", f.storedVersion(t, "first"), "the row is whole")
	now = now.Add(late)
	f.originRow.step(now)
	require.Equal(t, "v1", f.storedVersion(t, "first"))
}

// TestRowIsNotWrittenWhileOneVersionServes also lets the second version appear while a stream is in flight.
func TestRowIsNotWrittenWhileOneVersionServes(t *testing.T) {
	f := newOriginFleet(t, &faultyStore{})
	f.configure("v1", "v1")
	f.begin("1", "v1")
	now := time.Now()
	f.originRow.step(now)
	require.Empty(t, f.storedVersion(t, "1"))
	f.configure("v1", "v2")
	f.originRow.step(now.Add(originIdlePeriod))
	require.Equal(t, "v1", f.storedVersion(t, "1"), "in flight when the second version appeared")
}

// TestEachRunHasItsOwnRow guards against a restart that replaces what the run before wrote.
func TestEachRunHasItsOwnRow(t *testing.T) {
	store := &faultyStore{}
	for n := range 3 {
		f := newOriginFleet(t, store)
		f.store.set(func() { f.store.ended = false })
		f.begin(strconv.Itoa(n), "v2")
		f.originRow.step(time.Now())
	}
	f := newOriginFleet(t, store)
	for n := range 3 {
		require.Equal(t, "v2", f.storedVersion(t, strconv.Itoa(n)))
	}
}

// find looks a stream up in the archive as a take-up does.
func (f *originFleet) find(t *testing.T, stream string) (origin.Origin, bool, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	return f.archive.Find(ctx, time.Now(), stream)
}

// TestSearchGivesUpWhenTheStoreHangs guards against requests that wait for a store which is away.
func TestSearchGivesUpWhenTheStoreHangs(t *testing.T) {
	hang := make(chan struct{})
	f := newOriginFleet(t, &faultyStore{hang: hang})
	began := time.Now()
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() {
			_, known, err := f.find(t, "1")
			require.Error(t, err)
			require.False(t, known)
		})
	}
	callers.Wait()
	require.Less(t, time.Since(began), 5*time.Second)
	f.store.set(func() { require.Equal(t, 1, f.store.reads, "one read for all") })
	f.store.set(func() { f.store.err = keyvalue.ErrUnavailable })
	close(hang)
}

// TestSearchIsRefusedAtOnceAfterAReadFailed also lets the store come back.
func TestSearchIsRefusedAtOnceAfterAReadFailed(t *testing.T) {
	f := newOriginFleet(t, &faultyStore{err: keyvalue.ErrUnavailable})
	_, _, err := f.find(t, "1")
	require.ErrorIs(t, err, keyvalue.ErrUnavailable)
	for range 20 {
		_, _, err = f.find(t, "1")
		require.ErrorIs(t, err, keyvalue.ErrUnavailable)
	}
	f.store.set(func() { require.Less(t, f.store.reads, 5) })
	f.store.set(func() { f.store.err = nil })
	f.begin("1", "v2")
	require.Eventually(t, func() bool {
		f.originRow.step(time.Now().Add(time.Minute))
		o, known, err := f.find(t, "1")
		return err == nil && known && o == origin.Origin{Stream: "1", Service: "s", Version: "v2"}
	}, eventually, 100*time.Millisecond)
}

// TestSearchesShareReads guards against a read of all rows for each stream that is taken up after a loss of power.
func TestSearchesShareReads(t *testing.T) {
	const streams = 300
	f := newOriginFleet(t, &faultyStore{})
	for n := range streams {
		f.begin(strconv.Itoa(n), "v"+strconv.Itoa(n%2))
	}
	f.originRow.step(time.Now())
	var callers sync.WaitGroup
	for n := range streams {
		callers.Go(func() {
			o, known, err := f.find(t, strconv.Itoa(n))
			require.NoError(t, err)
			require.True(t, known)
			require.Equal(t, "v"+strconv.Itoa(n%2), o.Version)
		})
	}
	callers.Wait()
	f.store.set(func() { require.LessOrEqual(t, f.store.reads, 2) })
}

// TestMalformedRowsAreSkipped puts a torn row and bytes of another form beside a sound row, and reads them twice.
func TestMalformedRowsAreSkipped(t *testing.T) {
	f := newOriginFleet(t, &faultyStore{})
	f.begin("1", "v1")
	f.originRow.step(time.Now())
	sound, err := f.store.Get(t.Context(), f.originRow.key)
	require.NoError(t, err)
	for key, value := range map[string][]byte{"torn": sound.Value[:len(sound.Value)-3], "other": []byte(`{"Streams":[]}`), "empty": {}} {
		_, err := f.store.Memory.Put(t.Context(), keyvalue.Put{Key: originPrefix + key, Value: value})
		require.NoError(t, err)
	}
	o, known, err := f.find(t, "1")
	require.NoError(t, err)
	require.True(t, known)
	require.Equal(t, "v1", o.Version)
	require.Equal(t, 3, f.logged("origins not read"))
	_, known, err = f.find(t, "none")
	require.False(t, known)
	if err != nil {
		require.True(t, errors.Is(err, keyvalue.ErrLimited), "too soon after the first read: %v", err)
	}
	require.Equal(t, 3, f.logged("origins not read"), "logged once")
}

// TestFlushWaitsForTheRow lets a stream begin at another version than the one to which its request was sent first.
func TestFlushWaitsForTheRow(t *testing.T) {
	f := newOriginFleet(t, &faultyStore{})
	f.origins.Writer.Flush(time.Now(), "1")
	require.Zero(t, f.logged("origin not written in time"), "no row was written before")
	f.origins.Sent(origin.Origin{Stream: "1", Service: "s", Version: "v1"})
	f.originRow.step(time.Now())
	require.Equal(t, "v1", f.storedVersion(t, "1"))

	go f.originRow.run()
	t.Cleanup(func() { close(f.stop) })
	f.origins.Sent(origin.Origin{Stream: "1", Service: "s", Version: "v2"})
	require.Eventually(t, func() bool { return f.storedVersion(t, "1") == "" }, eventually, pollInterval, "which version begins it is open")
	f.origins.Began(time.Now(), origin.Origin{Stream: "1", Service: "s", Version: "v2"})
	require.Equal(t, "v2", f.storedVersion(t, "1"), "before the caller gets the first event")
	require.Zero(t, f.logged("origin not written in time"))
}

// TestEarlierReadDoesNotNameAVersionThatTheStreamLeft lets a read happen between the sending of a request and its move to another version.
func TestEarlierReadDoesNotNameAVersionThatTheStreamLeft(t *testing.T) {
	store := &faultyStore{}
	serves, reader := newOriginFleet(t, store), newOriginFleetOn(t, "vm-2", store)
	now := time.Now()
	serves.origins.Sent(origin.Origin{Stream: "1", Service: "s", Version: "v1"})
	serves.originRow.step(now)
	_, _, err := reader.find(t, "another")
	require.NoError(t, err)
	serves.origins.Sent(origin.Origin{Stream: "1", Service: "s", Version: "v2"})
	serves.origins.Registry.Began(now, origin.Origin{Stream: "1", Service: "s", Version: "v2"})
	serves.originRow.step(now.Add(time.Second))
	require.Equal(t, "v2", serves.storedVersion(t, "1"))
	time.Sleep(time.Second)
	o, known, err := reader.find(t, "1")
	require.NoError(t, err)
	require.True(t, known)
	require.Equal(t, "v2", o.Version)
}

// TestRowDropsARequestThatWasHandedOver lets a request be rejected here and begin its stream at another router.
func TestRowDropsARequestThatWasHandedOver(t *testing.T) {
	f := newOriginFleet(t, &faultyStore{})
	now := time.Now()
	f.begin("other", "v1")
	f.origins.Sent(origin.Origin{Stream: "1", Service: "s", Version: "v1"})
	f.originRow.step(now)
	require.Equal(t, "v1", f.storedVersion(t, "1"))
	f.origins.Ended("1") // As forgetSent does when the run ends without a stream.
	f.originRow.step(now.Add(2 * time.Second))
	require.Empty(t, f.storedVersion(t, "1"))
}

// TestFirstEventDoesNotPassWhileTheStoreNamesTheVersionThatTheStreamLeft lets writes fail after the request was sent.
func TestFirstEventDoesNotPassWhileTheStoreNamesTheVersionThatTheStreamLeft(t *testing.T) {
	store := &faultyStore{}
	f := newOriginFleet(t, store)
	f.origins.Sent(origin.Origin{Stream: "1", Service: "s", Version: "v1"})
	f.originRow.step(time.Now())
	store.set(func() { store.err = keyvalue.ErrUnavailable })
	go f.originRow.run()
	t.Cleanup(func() { close(f.stop) })
	f.origins.Sent(origin.Origin{Stream: "1", Service: "s", Version: "v2"})
	f.origins.Began(time.Now(), origin.Origin{Stream: "1", Service: "s", Version: "v2"})
	store.set(func() { store.err = nil })
	// All routers lose power here; another run reads the store.
	next := newOriginFleet(t, store)
	o, known, err := next.find(t, "1")
	require.NoError(t, err)
	require.False(t, known && o.Version == "v1", "named with the version that it left")
}

// TestEarlierReadNamesStreamsOfEndedRuns guards against a read for each stream that is taken up after a loss of power: a row does
// not change any more once its VM runs another router.
func TestEarlierReadNamesStreamsOfEndedRuns(t *testing.T) {
	store := &faultyStore{}
	before := newOriginFleet(t, store)
	for n := range 30 {
		before.origins.Sent(origin.Origin{Stream: strconv.Itoa(n), Service: "s", Version: "v1"})
	}
	before.originRow.step(time.Now())
	after := newOriginFleet(t, store)
	for n := range 30 {
		_, known, err := after.find(t, strconv.Itoa(n))
		require.NoError(t, err)
		require.True(t, known)
	}
	store.set(func() { require.Equal(t, 1, store.reads) })
}
