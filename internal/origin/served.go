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
	begun   bool // Its first event has come.
	inRow   bool // A row with this version was made.
	moved   bool // A row was made with another version, before the first event. The stream is left out until that comes.
	whole   bool // It has reached its end.
	ended   bool
	endedAt time.Time // When a row first found it ended; zero before.
}

// retention returns for how long a row still holds the stream after it has ended.
func (s *servedStream) retention() time.Duration {
	if s.whole {
		return wholeRetention
	}
	return servedRetention
}

// isAt reports whether the stream has the given origin.
func (s *servedStream) isAt(o Origin) bool { return s.service == o.Service && s.version == o.Version }

// sent adds a stream whose request is sent to an endpoint: it begins there if an event comes.
func (s *servedStreams) sent(o Origin) {
	before, ok := s.streams[o.Stream]
	switch {
	case !ok:
		s.add(o)
	case before.begun || before.isAt(o):
	default:
		s.add(o).moved = before.moved || before.inRow
	}
}

func (s *servedStreams) add(o Origin) *servedStream {
	if s.streams == nil {
		s.streams = map[string]*servedStream{}
	}
	added := &servedStream{service: o.Service, version: o.Version, hash: HashOf(o.Stream)}
	s.streams[o.Stream] = added
	s.changes++
	return added
}

// began adds a stream that begins, or goes on, at this router. It reports whether a row may exist that names another version.
func (s *servedStreams) began(o Origin) (corrects bool) {
	served, ok := s.streams[o.Stream]
	if !ok || !served.isAt(o) {
		corrects = ok && (served.moved || served.inRow)
		served = s.add(o)
	}
	if served.moved {
		corrects = true
		s.changes++
	}
	served.begun = true
	served.whole = false
	served.moved = false
	served.ended = false
	served.endedAt = time.Time{}
	return corrects
}

// completed records that a stream has reached its end.
func (s *servedStreams) completed(stream string) {
	if served, ok := s.streams[stream]; ok {
		served.whole = true
	}
}

// ended records that a stream has ended. If it had begun, its caller may still take it up.
func (s *servedStreams) ended(stream string) {
	served, ok := s.streams[stream]
	switch {
	case !ok:
	case !served.begun, len(s.streams) > maxRetainedStreams:
		delete(s.streams, stream)
		if served.inRow {
			s.changes++ // The stream may begin elsewhere.
		}
	default:
		served.ended = true
	}
}

// row returns the streams of the services for which needed reports true, and forgets those that ended long ago.
func (s *servedStreams) row(now time.Time, needed func(service string) bool) Row {
	type group struct {
		service, version string
		begun            bool
	}
	hashes := map[group][]StreamHash{}
	neededFor := map[string]bool{}
	n := 0
	for id, served := range s.streams {
		if served.ended && served.endedAt.IsZero() {
			served.endedAt = now
		}
		if served.ended && now.Sub(served.endedAt) > served.retention() {
			delete(s.streams, id)
			continue
		}
		need, checked := neededFor[served.service]
		if !checked {
			need = needed(served.service)
			neededFor[served.service] = need
		}
		if !need || served.moved || n == maxStreamsInRow {
			continue
		}
		n++
		served.inRow = true
		g := group{served.service, served.version, served.begun}
		hashes[g] = append(hashes[g], served.hash)
	}
	row := Row{WrittenAt: now}
	for g, streams := range hashes {
		row.Groups = append(row.Groups, RowGroup{g.service, g.version, g.begun, streams})
	}
	return row
}
