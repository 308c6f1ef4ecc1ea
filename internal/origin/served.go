package origin

import (
	"time"
)

// servedStreams holds the streams that this router serves, or served a moment ago, for its row in the store.
type servedStreams struct {
	streams map[string]*servedStream // By stream ID.
	changes uint64                   // Number of streams added or changed.
}

type servedStream struct {
	service string
	version string
	hash    StreamHash
	ended   bool
	endedAt time.Time // When a row first found it ended; zero before.
}

// began adds a stream that begins, or goes on, at this router.
func (s *servedStreams) began(o Origin) {
	if s.streams == nil {
		s.streams = map[string]*servedStream{}
	}
	before, ok := s.streams[o.Stream]
	if ok && before.service == o.Service && before.version == o.Version {
		before.ended = false
		before.endedAt = time.Time{}
		return
	}
	s.streams[o.Stream] = &servedStream{service: o.Service, version: o.Version, hash: HashOf(o.Stream)}
	s.changes++
}

// ended records that a stream has ended. Its caller may still take it up.
func (s *servedStreams) ended(stream string) {
	served, ok := s.streams[stream]
	switch {
	case !ok:
	case len(s.streams) > maxRetainedStreams:
		delete(s.streams, stream)
	default:
		served.ended = true
	}
}

// row returns the streams of the services for which needed reports true, and forgets those that ended long ago.
func (s *servedStreams) row(now time.Time, needed func(service string) bool) Row {
	type group struct{ service, version string }
	hashes := map[group][]StreamHash{}
	neededFor := map[string]bool{}
	n := 0
	for id, served := range s.streams {
		if served.ended && served.endedAt.IsZero() {
			served.endedAt = now
		}
		if served.ended && now.Sub(served.endedAt) > servedRetention {
			delete(s.streams, id)
			continue
		}
		need, checked := neededFor[served.service]
		if !checked {
			need = needed(served.service)
			neededFor[served.service] = need
		}
		if !need || n == maxStreamsInRow {
			continue
		}
		n++
		g := group{served.service, served.version}
		hashes[g] = append(hashes[g], served.hash)
	}
	row := Row{WrittenAt: now}
	for g, streams := range hashes {
		row.Groups = append(row.Groups, RowGroup{g.service, g.version, streams})
	}
	return row
}
