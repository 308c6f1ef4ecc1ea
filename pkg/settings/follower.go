package settings

import (
	"maps"
	"slices"
	"time"
)

// Event is an input of a Follower.
type Event interface{ isEvent() }

// HeadReceived carries a head from the store or from a peer.
type HeadReceived struct{ Head Head }

// SubtreeRead carries the content of one accepted version of a subtree.
type SubtreeRead struct {
	Path    string
	Version Version
	Content []byte
}

// SubtreeFailed reports that one version of a subtree could not be read.
type SubtreeFailed struct {
	Path    string
	Version Version
}

// Tick makes the Follower check whether a retry is due.
type Tick struct{}

func (HeadReceived) isEvent()  {}
func (SubtreeRead) isEvent()   {}
func (SubtreeFailed) isEvent() {}
func (Tick) isEvent()          {}

// Action is an output of a Follower that its owner carries out.
type Action interface{ isAction() }

// ReadSubtree requests one accepted version of a subtree; the result is a SubtreeRead or a SubtreeFailed.
type ReadSubtree struct {
	Path    string
	Version Version
}

// Apply makes a tree the current one.
type Apply struct {
	Revision uint64
	Tree     Tree
}

// Reject reports a head whose tree is invalid; the applied tree stays current.
type Reject struct {
	Revision uint64
	Err      error
}

func (ReadSubtree) isAction() {}
func (Apply) isAction()       {}
func (Reject) isAction()      {}

// RetryDelay is the delay after a failed read before missing subtrees are requested again.
const RetryDelay = 500 * time.Millisecond

// Follower applies the head with the highest revision that it received.
//
// Its zero value has no settings. It does no I/O: its owner passes events to
// Handle and carries out the actions. It is not safe for concurrent use.
type Follower struct {
	applied          Head
	target           Head                      // The highest head received; above applied while its subtrees are being read and after it was rejected.
	contents         map[string]subtreeContent // Last subtree read, by path.
	inFlight         map[string]Version        // Reads in flight, by path.
	retryAt          time.Time                 // Ticks before this time do not retry.
	rejectedRevision uint64                    // Revision of the last head whose tree was invalid.
}

type subtreeContent struct {
	version Version
	text    []byte
}

// Handle processes one event at time now and returns the actions to carry out.
func (f *Follower) Handle(now time.Time, ev Event) []Action {
	if f.contents == nil {
		f.contents = map[string]subtreeContent{}
		f.inFlight = map[string]Version{}
	}
	switch ev := ev.(type) {
	case HeadReceived:
		return f.headReceived(ev)
	case SubtreeRead:
		return f.subtreeRead(ev)
	case SubtreeFailed:
		f.retryAt = now.Add(RetryDelay)
		if f.inFlight[ev.Path] == ev.Version {
			delete(f.inFlight, ev.Path)
		}
		return nil
	case Tick:
		if now.Before(f.retryAt) {
			return nil
		}
		return f.fetch()
	default:
		return nil
	}
}

// Revision returns the applied revision.
func (f *Follower) Revision() uint64 { return f.applied.Revision }

// Head returns the applied head.
func (f *Follower) Head() Head { return f.applied }

// Content returns the TOML last read for a path.
//
// It is newer than the applied version while the rest of the target is still
// being read, and after the target was rejected.
func (f *Follower) Content(path string) []byte { return f.contents[path].text }

func (f *Follower) headReceived(ev HeadReceived) []Action {
	if ev.Head.Revision <= f.target.Revision {
		return nil
	}
	f.target = ev.Head
	return f.fetch()
}

// fetch requests the subtrees of the target that are missing and not in flight, or applies the target if none is missing.
func (f *Follower) fetch() []Action {
	if f.target.Revision <= f.applied.Revision || f.target.Revision == f.rejectedRevision {
		return nil
	}
	var actions []Action
	missing := false
	for _, path := range slices.Sorted(maps.Keys(f.target.Paths)) {
		want := f.target.Paths[path]
		if f.contents[path].version == want {
			continue
		}
		missing = true
		if f.inFlight[path] != want {
			f.inFlight[path] = want
			actions = append(actions, ReadSubtree{path, want})
		}
	}
	if missing {
		return actions
	}
	return f.apply()
}

func (f *Follower) subtreeRead(ev SubtreeRead) []Action {
	if f.inFlight[ev.Path] == ev.Version {
		delete(f.inFlight, ev.Path)
	}
	if f.target.Paths[ev.Path] != ev.Version {
		return nil
	}
	f.contents[ev.Path] = subtreeContent{ev.Version, ev.Content}
	return f.fetch()
}

func (f *Follower) apply() []Action {
	texts := map[string][]byte{}
	for path := range f.target.Paths {
		texts[path] = f.contents[path].text
	}
	tree, err := Assemble(texts)
	if err != nil {
		f.rejectedRevision = f.target.Revision
		return []Action{Reject{f.target.Revision, err}}
	}
	f.applied = f.target
	return []Action{Apply{f.target.Revision, tree}}
}
