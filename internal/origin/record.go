package origin

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// Record names the software versions of one service at which streams may have begun that are still taken up. It is kept in
// the store, so that it outlives all routers.
//
// No router lets a stream begin at a version that the record does not name, or names as retiring; see History.
type Record struct {
	Versions   []RecordedVersion // Sorted by version.
	Incomplete bool              `json:",omitempty"` // Another writer replaced the record, so that others may have served lately.
}

// RecordedVersion is one version in a Record.
type RecordedVersion struct {
	Version  string
	Retiring bool `json:",omitempty"` // No endpoint has it; a router that sees one again clears this before a stream begins there.
}

// ParseRecord decodes the value of a record in the store. A value that names no version is an error, as no router writes it; the
// record is incomplete then.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{Incomplete: true}, errors.Wrap(err, "decoding a record of versions")
	}
	if len(r.Versions) == 0 {
		return Record{Incomplete: true}, errors.New("a record of versions names none")
	}
	return r, nil
}

// admits reports whether streams may begin at a version.
func (r Record) admits(version string) bool {
	return slices.Contains(r.Versions, RecordedVersion{Version: version})
}

// names returns all versions, also those that retire.
func (r Record) names() []string {
	out := make([]string, 0, len(r.Versions))
	for _, v := range r.Versions {
		out = append(out, v.Version)
	}
	return out
}

// with returns the record with versions at which streams may begin.
func (r Record) with(versions []string) Record {
	out := Record{Incomplete: r.Incomplete}
	for _, name := range union(r.names(), versions) {
		retiring := !slices.Contains(versions, name) && !r.admits(name)
		out.Versions = append(out.Versions, RecordedVersion{name, retiring})
	}
	return out
}

// retire returns the record in which only the versions in view do not retire, and whether that changes it.
func (r Record) retire(view []string) (out Record, changed bool) {
	out.Incomplete = r.Incomplete
	for _, v := range r.Versions {
		if !v.Retiring && !slices.Contains(view, v.Version) {
			v.Retiring = true
			changed = true
		}
		out.Versions = append(out.Versions, v)
	}
	return out, changed
}

// withoutRetiring returns the record without the versions that retire, and whether that changes it. It is complete, since
// whatever it does not name has served no more for retention.
func (r Record) withoutRetiring() (out Record, changed bool) {
	changed = r.Incomplete
	for _, v := range r.Versions {
		if v.Retiring {
			changed = true
			continue
		}
		out.Versions = append(out.Versions, v)
	}
	return out, changed
}

// union returns the elements of all lists, sorted and each once.
func union(lists ...[]string) []string {
	out := slices.Concat(lists...)
	slices.Sort(out)
	return slices.Compact(out)
}
