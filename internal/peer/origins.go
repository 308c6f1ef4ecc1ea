package peer

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/foxtaillanding/foxtaillanding/internal/logfile"
	"github.com/foxtaillanding/foxtaillanding/internal/origin"
)

const (
	originDelay   = 50 * time.Millisecond  // For which the origins of new streams are collected before they are told.
	originTimeout = 300 * time.Millisecond // Short, because a request waits for the answer.

	homesPerStream = 2 // Routers beside the one that serves a stream that are told where it began.
	// originQueries is one more than homesPerStream, because the router that served the stream may rank among the homes.
	originQueries = homesPerStream + 1

	// streamShards is the number of groups into which streams are divided, each with its own homes, so that these are
	// looked up only once for each group.
	streamShards = 256
)

// Origins tells the homes of streams where these began, and asks them. Its exported fields are set before the first call.
type Origins struct {
	Client   *Client
	Registry *origin.Registry
	Archive  origin.Archive // What outlives all routers; nil if nothing does.
	Writer   origin.Writer  // Writes what Archive finds; nil if nothing is written.

	mu        sync.Mutex
	scheduled bool // A call of Tell is scheduled; guarded by mu.
}

// Sent records that the request of a new stream is sent to an endpoint.
func (s *Origins) Sent(o origin.Origin) {
	s.Registry.Sent(o)
	if s.Writer != nil {
		s.Writer.Changed()
	}
}

// Began records where a stream began, and tells its homes soon if endpoints of several versions serve the service.
func (s *Origins) Began(now time.Time, o origin.Origin) {
	s.record(now, o)
	if !s.Client.Endpoints.HasSeveralVersions(o.Service) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduled {
		return
	}
	s.scheduled = true
	time.AfterFunc(originDelay, func() {
		s.mu.Lock()
		s.scheduled = false
		s.mu.Unlock()
		s.Tell(time.Now())
	})
}

// record records where a stream began. If the archive may hold another version of it, it waits for the correction.
func (s *Origins) record(now time.Time, o origin.Origin) {
	corrects := s.Registry.Began(now, o)
	switch {
	case s.Writer == nil:
	case corrects:
		s.Writer.Flush(now, o.Stream)
	default:
		s.Writer.Changed()
	}
}

// Completed records that a stream which this router serves has reached its end.
func (s *Origins) Completed(stream string) { s.Registry.Completed(stream) }

// Ended records that this router serves a stream no longer.
func (s *Origins) Ended(stream string) { s.Registry.Ended(stream) }

// Tell tells the homes of the streams in flight what they have not been told yet.
func (s *Origins) Tell(now time.Time) {
	homes := func(stream string) []string { return s.others(stream, homesPerStream) }
	for home, origins := range s.Registry.Untold(now, s.Client.Endpoints.HasSeveralVersions, homes) {
		s.Client.Background(func() {
			if _, err := s.Client.call(home, OriginsPath, origins); err != nil {
				s.Client.Log.Warn("origins not told", zap.String("Peer", home), zap.Int("Streams", len(origins)), logfile.Error(err))
			}
		})
	}
}

// Find returns where a stream began, as this router or the homes of the stream know it.
func (s *Origins) Find(now time.Time, stream, service string) origin.Answer {
	found, known := s.Registry.Find(now, stream)
	best := origin.Answer{Origin: found, Known: known, SeveralVersions: s.Client.Endpoints.HasSeveralVersions(service)}
	if known {
		return best
	}
	homes := s.others(stream, originQueries)
	answers := make(chan origin.Answer, len(homes))
	for _, home := range homes {
		go func() { answers <- s.ask(home, originQuery{stream, service}) }()
	}
	for range homes {
		a := <-answers
		if a.Known {
			s.Registry.Learn(now, []origin.Origin{a.Origin})
			return a
		}
		best.SeveralVersions = best.SeveralVersions || a.SeveralVersions
	}
	// A router that has just started may see one version although others served a moment ago: the archive is asked as well.
	if s.Archive != nil {
		return s.findInArchive(now, stream, best)
	}
	return best
}

// findInArchive adds what the archive knows of a stream to what the routers know.
func (s *Origins) findInArchive(now time.Time, stream string, a origin.Answer) origin.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
	defer cancel()
	found, known, err := s.Archive.Find(ctx, now, stream)
	if err != nil || !known {
		return a // The archive has logged why.
	}
	s.Registry.Learn(now, []origin.Origin{found})
	a.Origin, a.Known = found, true
	return a
}

// ask asks one router where a stream began. A router that does not answer knows nothing.
func (s *Origins) ask(home string, q originQuery) origin.Answer {
	var a origin.Answer
	address, ok := s.Client.Members.Address(home)
	if !ok {
		return a
	}
	if err := s.Client.postWithin(originTimeout, address, OriginPath, q, &a); err != nil {
		s.Client.Log.Info("origin not asked for", zap.String("Peer", home), zap.String("Stream", q.Stream), logfile.Error(err))
		return origin.Answer{}
	}
	return a
}

// others returns the n preferred routers for a stream other than this one.
func (s *Origins) others(stream string, n int) []string {
	shard := xxhash.Sum64String(stream) % streamShards
	self := s.Client.Self()
	var names []string
	for _, name := range s.Client.Members.Homes("Stream/"+strconv.FormatUint(shard, 10), originQueries+1) {
		if name != self && len(names) < n {
			names = append(names, name)
		}
	}
	return names
}
