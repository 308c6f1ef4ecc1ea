package settings

import (
	"maps"
	"slices"
	"time"
)

// Event is something that a Follower reacts to.
type Event interface{ isEvent() }

// HeadSeen carries a head from the store or from a peer.
type HeadSeen struct{ Head Head }

// SubtreeRead carries the content of one accepted version of a subtree.
type SubtreeRead struct {
	Path    string
	Version Version
	Content []byte
}

// SubtreeFailed reports that a subtree could not be read.
type SubtreeFailed struct {
	Path    string
	Version Version
}

// Tick lets time pass.
type Tick struct{}

func (HeadSeen) isEvent()      {}
func (SubtreeRead) isEvent()   {}
func (SubtreeFailed) isEvent() {}
func (Tick) isEvent()          {}

// Action is something that a Follower wants done.
type Action interface{ isAction() }

// ReadSubtree reads one accepted version of a subtree.
type ReadSubtree struct {
	Path    string
	Version Version
}

// Apply puts a tree in force.
type Apply struct {
	Revision uint64
	Tree     Tree
}

// Reject reports a head whose tree does not pass its checks; the tree in force stays.
type Reject struct {
	Revision uint64
	Err      error
}

func (ReadSubtree) isAction() {}
func (Apply) isAction()       {}
func (Reject) isAction()      {}

// RetryEvery is the pause before a subtree that could not be read is read again.
const RetryEvery = 500 * time.Millisecond

// Follower brings the highest head that it sees into force; its zero value has no settings.
type Follower struct {
	inForce  Head
	target   Head
	contents map[string]content // By path.
	reading  map[string]Version
	retryAt  time.Time
	rejected uint64
}

type content struct {
	version Version
	text    []byte
}

// Handle applies one event at time now and returns what is to be done.
func (f *Follower) Handle(now time.Time, ev Event) []Action {
	if f.contents == nil {
		f.contents = map[string]content{}
		f.reading = map[string]Version{}
	}
	switch ev := ev.(type) {
	case HeadSeen:
		return f.headSeen(ev)
	case SubtreeRead:
		return f.subtreeRead(ev)
	case SubtreeFailed:
		f.retryAt = now.Add(RetryEvery)
		if f.reading[ev.Path] == ev.Version {
			delete(f.reading, ev.Path)
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

// Revision returns the revision in force.
func (f *Follower) Revision() uint64 { return f.inForce.Revision }

// Head returns the head in force.
func (f *Follower) Head() Head { return f.inForce }

// Content returns the TOML in force at a path.
func (f *Follower) Content(path string) []byte { return f.contents[path].text }

func (f *Follower) headSeen(ev HeadSeen) []Action {
	if ev.Head.Revision <= f.target.Revision {
		return nil
	}
	f.target = ev.Head
	return f.fetch()
}

// fetch reads the subtrees that the target needs, or applies it when none is missing.
func (f *Follower) fetch() []Action {
	if f.target.Revision <= f.inForce.Revision || f.target.Revision == f.rejected {
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
		if f.reading[path] != want {
			f.reading[path] = want
			actions = append(actions, ReadSubtree{path, want})
		}
	}
	if missing {
		return actions
	}
	return f.apply()
}

func (f *Follower) subtreeRead(ev SubtreeRead) []Action {
	if f.reading[ev.Path] == ev.Version {
		delete(f.reading, ev.Path)
	}
	if f.target.Paths[ev.Path] != ev.Version {
		return nil
	}
	f.contents[ev.Path] = content{ev.Version, ev.Content}
	return f.fetch()
}

func (f *Follower) apply() []Action {
	texts := map[string][]byte{}
	for path := range f.target.Paths {
		texts[path] = f.contents[path].text
	}
	tree, err := Assemble(texts)
	if err != nil {
		f.rejected = f.target.Revision
		return []Action{Reject{f.target.Revision, err}}
	}
	f.inForce = f.target
	return []Action{Apply{f.target.Revision, tree}}
}
