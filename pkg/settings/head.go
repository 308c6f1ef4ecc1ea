package settings

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// FleetPath is the path of the subtree that all teams share.
const FleetPath = "Fleet"

// TeamPath returns the path of a team's subtree.
func TeamPath(team string) string { return "Teams/" + team }

// ChangesKept is the number of accepted change IDs that a Head remembers.
const ChangesKept = 128

// Head names the version in force of every subtree.
type Head struct {
	Revision uint64
	Paths    map[string]Version
	Changes  []string // IDs of the last accepted changes, oldest first.
}

// Version names one accepted content of a subtree.
type Version struct {
	Revision uint64 // Of the Head that accepted it.
	Change   string // ID of the change that brought it.
}

// Change is one operator's wish to replace a subtree.
type Change struct {
	ID           string // Chosen by the operator's client; the same ID is accepted once.
	Path         string
	BaseRevision uint64 // The path's revision that the operator saw; 0 for a new path.
	Content      []byte // TOML of the subtree.
}

// Errors of changes.
var (
	ErrConflict = errors.New("the subtree was changed since it was read")
	ErrNoChange = errors.New("a change needs an ID and a path")
)

// ConflictError tells which revision an operator's change lost to.
type ConflictError struct {
	Path     string
	Base     uint64
	Revision uint64
}

// Error names the newer revision.
func (e *ConflictError) Error() string {
	return errors.Newf("%s is at revision %d, the change was made from revision %d", e.Path, e.Revision, e.Base).Error()
}

// Is reports that a ConflictError is an ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Accepted reports whether the head remembers the change.
func (h Head) Accepted(change string) bool { return slices.Contains(h.Changes, change) }

// Accept returns the head that puts the change in force; a change that was accepted before changes nothing.
func (h Head) Accept(c Change) (Head, error) {
	if c.ID == "" || c.Path == "" {
		return h, ErrNoChange
	}
	if h.Accepted(c.ID) {
		return h, nil
	}
	if at := h.Paths[c.Path].Revision; at != c.BaseRevision {
		return h, &ConflictError{Path: c.Path, Base: c.BaseRevision, Revision: at}
	}
	next := Head{Revision: h.Revision + 1, Paths: maps.Clone(h.Paths)}
	if next.Paths == nil {
		next.Paths = map[string]Version{}
	}
	next.Paths[c.Path] = Version{Revision: next.Revision, Change: c.ID}
	next.Changes = append(slices.Clone(h.Changes), c.ID)
	if extra := len(next.Changes) - ChangesKept; extra > 0 {
		next.Changes = next.Changes[extra:]
	}
	return next, nil
}
