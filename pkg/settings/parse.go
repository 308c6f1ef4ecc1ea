package settings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Problem is one error in a settings text, with its position.
type Problem struct {
	File string
	Line int    // Zero if unknown.
	Path string // Dotted path of the value, such as Fleet.VMs[0].Name; may be empty.
	Text string
}

// String returns the problem as FILE:LINE: PATH: TEXT.
func (p Problem) String() string {
	position := p.File
	if p.Line > 0 {
		position = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Path == "" {
		return position + ": " + p.Text
	}
	return position + ": " + p.Path + ": " + p.Text
}

// Problems is an error that lists every problem found.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// MaxBytes is the maximum size of a settings text in bytes.
const MaxBytes = 1 << 20

// ParseTree decodes and checks the settings of a whole tree. Errors refer to the text as file.
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

// ParseFleet decodes the subtree at FleetPath without checking its values.
func ParseFleet(file string, text []byte) (Fleet, error) {
	var f Fleet
	return f, decode(file, text, &f)
}

// ParseTeam decodes the subtree of one team without checking its values.
func ParseTeam(file string, text []byte) (Team, error) {
	var team Team
	return team, decode(file, text, &team)
}

// Format encodes a tree or a subtree as TOML.
func Format(v any) ([]byte, error) {
	text, err := toml.Marshal(v)
	return text, errors.Wrap(err, "encoding settings")
}

func decode(file string, text []byte, v any) error {
	if len(text) > MaxBytes {
		return Problems{{File: file, Text: fmt.Sprintf("larger than %d bytes", MaxBytes)}}
	}
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	var strictErr *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strictErr):
		return unknownKeys(file, strictErr)
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		return Problems{{File: file, Line: line, Path: strings.Join(decodeErr.Key(), "."), Text: decodeErr.Error()}}
	default:
		return Problems{{File: file, Text: err.Error()}}
	}
}

func unknownKeys(file string, strictErr *toml.StrictMissingError) Problems {
	problems := make(Problems, 0, len(strictErr.Errors))
	for i := range strictErr.Errors {
		line, _ := strictErr.Errors[i].Position()
		key := strings.Join(strictErr.Errors[i].Key(), ".")
		problems = append(problems, Problem{File: file, Line: line, Path: key, Text: "unknown key"})
	}
	return problems
}
