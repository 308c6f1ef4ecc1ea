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

// MaxChangeIDs is the number of accepted change IDs that a Head keeps.
const MaxChangeIDs = 128

// Head holds the current version of every subtree.
type Head struct {
	Revision uint64
	Paths    map[string]Version
	Changes  []string // IDs of the last accepted changes, oldest first; at most MaxChangeIDs.
}

// Version identifies one accepted content of a subtree.
type Version struct {
	Revision uint64 // Revision of the Head in which it was accepted.
	Change   string // ID of the change that wrote it.
}

// Change is an operator's request to replace a subtree.
type Change struct {
	ID           string // Idempotency key, chosen by the operator's client.
	Path         string
	BaseRevision uint64 // The path's revision on which the change is based; 0 for a new path.
	Content      []byte // TOML of the subtree.
}

// Errors that Accept returns for a change. ErrConflict is matched by each ConflictError.
var (
	ErrConflict         = errors.New("the subtree was changed since it was read")
	ErrIncompleteChange = errors.New("a change needs an ID and a path")
)

// ConflictError reports that a change is based on an outdated revision of its path.
type ConflictError struct {
	Path     string
	Base     uint64 // BaseRevision of the change.
	Revision uint64 // Current revision of the path.
}

// Error returns the path with its current revision and the one of the change.
func (e *ConflictError) Error() string {
	return errors.Newf("%s is at revision %d, the change was made from revision %d", e.Path, e.Revision, e.Base).Error()
}

// Is reports whether target is ErrConflict, which every ConflictError matches.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Accepted reports whether the ID is one of the last accepted changes.
func (h Head) Accepted(change string) bool { return slices.Contains(h.Changes, change) }

// Accept returns the head after the change, or h itself if the change was accepted before.
func (h Head) Accept(c Change) (Head, error) {
	if c.ID == "" || c.Path == "" {
		return h, ErrIncompleteChange
	}
	if h.Accepted(c.ID) {
		return h, nil
	}
	if current := h.Paths[c.Path].Revision; current != c.BaseRevision {
		return h, &ConflictError{Path: c.Path, Base: c.BaseRevision, Revision: current}
	}
	next := Head{Revision: h.Revision + 1, Paths: maps.Clone(h.Paths)}
	if next.Paths == nil {
		next.Paths = map[string]Version{}
	}
	next.Paths[c.Path] = Version{Revision: next.Revision, Change: c.ID}
	next.Changes = append(slices.Clone(h.Changes), c.ID)
	if extra := len(next.Changes) - MaxChangeIDs; extra > 0 {
		next.Changes = next.Changes[extra:]
	}
	return next, nil
}
