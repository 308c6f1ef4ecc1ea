package settings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Problem is one fault of settings, with the place where it stands.
type Problem struct {
	File string
	Line int // Zero when the place is not known.
	Path string
	Text string
}

// String returns the problem as FILE:LINE: PATH: TEXT.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Path == "" {
		return place + ": " + p.Text
	}
	return place + ": " + p.Path + ": " + p.Text
}

// Problems is an error that lists all faults found.
type Problems []Problem

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// MaxBytes is the largest settings text that is read.
const MaxBytes = 1 << 20

// ParseTree reads and checks a whole tree; file names the source in errors.
func ParseTree(file string, text []byte) (Tree, error) {
	var t Tree
	if err := decode(file, text, &t); err != nil {
		return Tree{}, err
	}
	if problems := t.Check(); len(problems) > 0 {
		return Tree{}, locate(file, text, problems)
	}
	return t, nil
}

// ParseFleet reads the subtree at path Fleet without checking it against the teams.
func ParseFleet(file string, text []byte) (Fleet, error) {
	var f Fleet
	return f, decode(file, text, &f)
}

// ParseTeam reads the subtree of one team without checking it against the fleet.
func ParseTeam(file string, text []byte) (Team, error) {
	var team Team
	return team, decode(file, text, &team)
}

// Format returns a tree or a subtree as TOML.
func Format(v any) ([]byte, error) {
	text, err := toml.Marshal(v)
	return text, errors.Wrap(err, "encoding settings")
}

func decode(file string, text []byte, v any) error {
	if len(text) > MaxBytes {
		return Problems{{File: file, Text: fmt.Sprintf("larger than %d bytes", MaxBytes)}}
	}
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		return unknownKeys(file, unknown)
	case errors.As(err, &wrong):
		line, _ := wrong.Position()
		return Problems{{File: file, Line: line, Path: strings.Join(wrong.Key(), "."), Text: wrong.Error()}}
	default:
		return Problems{{File: file, Text: err.Error()}}
	}
}

func unknownKeys(file string, unknown *toml.StrictMissingError) Problems {
	problems := make(Problems, 0, len(unknown.Errors))
	for i := range unknown.Errors {
		line, _ := unknown.Errors[i].Position()
		key := strings.Join(unknown.Errors[i].Key(), ".")
		problems = append(problems, Problem{File: file, Line: line, Path: key, Text: "unknown key"})
	}
	return problems
}
