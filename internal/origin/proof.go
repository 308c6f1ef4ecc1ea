package origin

import "time"

// Source says what the version of a stream that is taken up rests on.
type Source uint8

// The sources of a version. The zero value stands for a stream whose version is not known.
const (
	FromNowhere Source = iota
	FromSelf           // This router served the stream or was told of it.
	FromHome           // A home of the stream.
	FromRecord         // The record, read after the caller asked, names one version.
	FromArchive
)

var sourceNames = [...]string{"Nowhere", "Self", "Home", "Record", "Archive"}

// String returns the name of the source as written in logs.
func (s Source) String() string { return sourceNames[min(s, FromArchive)] }

// Answer is what is known when a caller takes up a stream.
type Answer struct {
	Origin          Origin // Set if Known.
	Known           bool
	SeveralVersions bool // Several versions serve the service or did lately, as far as anybody that was asked knows.
	Source          Source
	Age             time.Duration // Of the copy of the record; zero if it was read for this answer.
	HomesAsked      int
	HomesAnswered   int
	Incomplete      bool // Something that may know the version did not answer, so that another try may succeed.
}

// Evidence is what routers know of the versions of a service when a caller takes up a stream that none of them knows.
type Evidence struct {
	Fresh bool       // The record was read after the caller asked, and Own is from after that.
	Own   View       // Of this router.
	Homes [][]string // Versions that the homes of the stream know of.

	SeveralVersions bool // A home knows of several versions without naming them, as routers of earlier builds do.
}

// Versions returns the versions of which anybody knows.
func (e Evidence) Versions() []string { return union(append(e.Homes, e.Own.Versions)...) }

// Version returns the version at which the stream began, if that is proved.
//
// A record that was read after the question proves it, since no stream begins at a version before it is recorded. An
// older copy does not: another version may have been recorded since, at routers that this one does not reach.
func (e Evidence) Version() (version string, proved bool) {
	versions := e.Versions()
	if !e.Fresh || !e.Own.Recorded || e.SeveralVersions || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}
