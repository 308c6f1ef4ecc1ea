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

// Versions knows the versions of which each service has, or had lately, endpoints.
type Versions interface {
	// MustTell reports whether the homes of a service's streams have to be told where these begin.
	MustTell(now time.Time, service string) bool
	// View returns what this router knows.
	View(now time.Time, service string) origin.View
	// Read returns what this router knows once it has read the lasting record of the service. It may wait for a short time.
	Read(service string) (origin.View, error)
}

// Origins tells the homes of streams where these began, and asks them. Its exported fields are set before the first call.
type Origins struct {
	Client   *Client
	Registry *origin.Registry
	Versions Versions
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

// Began records where a stream began, and tells its homes soon if it may matter at which version.
func (s *Origins) Began(now time.Time, o origin.Origin) {
	s.record(now, o)
	if !s.mustTell(now, o.Service) {
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

// mustTell reports whether the homes of a service's streams have to be told where these begin.
func (s *Origins) mustTell(now time.Time, service string) bool {
	return s.Client.Endpoints.HasSeveralVersions(service) || s.Versions.MustTell(now, service)
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
	needed := func(service string) bool { return s.mustTell(now, service) }
	homes := func(stream string) []string { return s.others(stream, homesPerStream) }
	for home, origins := range s.Registry.Untold(now, needed, homes) {
		s.Client.Background(func() {
			if _, err := s.Client.call(home, OriginsPath, origins); err != nil {
				s.Client.Log.Warn("origins not told", zap.String("Peer", home), zap.Int("Streams", len(origins)), logfile.Error(err))
			}
		})
	}
}

// Find returns where a stream began, as this router or the homes of the stream know it, or as the record of versions proves
// it, or as the archive knows it.
func (s *Origins) Find(now time.Time, stream, service string) origin.Answer {
	if found, known := s.Registry.Find(now, stream); known {
		view := s.Versions.View(now, service)
		return origin.Answer{Origin: found, Known: true, Source: origin.FromSelf, SeveralVersions: len(view.Versions) > 1, Age: view.Age}
	}
	record := make(chan reading, 1)
	go func() { record <- s.read(service) }()
	answer, versions := s.askHomes(now, stream, service)
	if answer.Known {
		return answer
	}
	own := <-record
	evidence := origin.Evidence{Fresh: own.err == nil, Own: own.View, Homes: versions, SeveralVersions: answer.SeveralVersions}
	if own.err != nil {
		s.Client.Log.Info("record of versions not read", zap.String("Service", service), zap.String("Stream", stream), logfile.Error(own.err))
		evidence.Own = s.Versions.View(now, service)
	}
	answer.Age = evidence.Own.Age
	answer.SeveralVersions = answer.SeveralVersions || len(evidence.Versions()) > 1
	if version, proved := evidence.Version(); proved {
		answer.Known = true
		answer.Source = origin.FromRecord
		answer.Origin = origin.Origin{Stream: stream, Service: service, Version: version}
		return answer
	}
	answer.Incomplete = own.err != nil || answer.HomesAnswered < answer.HomesAsked
	return s.findArchived(stream, answer)
}

// reading is the result of reading the record of versions.
type reading struct {
	origin.View

	err error
}

func (s *Origins) read(service string) reading {
	view, err := s.Versions.Read(service)
	return reading{view, err}
}

// askHomes asks the homes of a stream where it began. If none of those that answer knows, it returns the versions that they know of.
func (s *Origins) askHomes(now time.Time, stream, service string) (answer origin.Answer, versions [][]string) {
	homes := s.others(stream, originQueries)
	replies := make(chan *originReply, len(homes))
	for _, home := range homes {
		go func() { replies <- s.ask(home, originQuery{stream, service}) }()
	}
	answer.HomesAsked = len(homes)
	for range homes {
		reply := <-replies
		switch {
		case reply == nil:
			continue
		case reply.Known:
			s.Registry.Learn(now, []origin.Origin{reply.Origin})
			answer.Origin = reply.Origin
			answer.Known = true
			answer.Source = origin.FromHome
			answer.SeveralVersions = reply.SeveralVersions || len(reply.Versions) > 1
			answer.Age = time.Duration(reply.AgeMilliseconds) * time.Millisecond
			answer.HomesAnswered++
			return answer, nil
		}
		answer.HomesAnswered++
		answer.SeveralVersions = answer.SeveralVersions || reply.SeveralVersions
		versions = append(versions, reply.Versions)
	}
	return answer, versions
}

// ask asks one router where a stream began, and returns nil if it does not answer.
func (s *Origins) ask(home string, q originQuery) *originReply {
	address, ok := s.Client.Members.Address(home)
	if !ok {
		return nil
	}
	var reply originReply
	if err := s.Client.postWithin(originTimeout, address, OriginPath, q, &reply); err != nil {
		s.Client.Log.Info("origin not asked for", zap.String("Peer", home), zap.String("Stream", q.Stream), logfile.Error(err))
		return nil
	}
	return &reply
}

// findArchived completes an answer by what the archive knows of the stream.
func (s *Origins) findArchived(stream string, answer origin.Answer) origin.Answer {
	if s.Archive == nil {
		return answer
	}
	ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
	defer cancel()
	now := time.Now()
	found, known, err := s.Archive.Find(ctx, now, stream)
	switch {
	case err != nil:
		answer.Incomplete = true // The archive has logged why.
	case known:
		s.Registry.Learn(now, []origin.Origin{found})
		answer.Origin = found
		answer.Known = true
		answer.Source = origin.FromArchive
	}
	return answer
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
