package settings

import (
	"maps"
	"slices"
	"strings"
)

// Assemble decodes the subtrees, whose TOML is given by path, into one tree and checks it.
func Assemble(texts map[string][]byte) (Tree, error) {
	var t Tree
	for _, path := range slices.Sorted(maps.Keys(texts)) {
		if err := t.add(path, texts[path]); err != nil {
			return Tree{}, err
		}
	}
	if problems := t.Check(); len(problems) > 0 {
		return Tree{}, problems
	}
	return t, nil
}

func (t *Tree) add(path string, text []byte) error {
	if path == FleetPath {
		fleet, err := ParseFleet(path, text)
		t.Fleet = fleet
		return err
	}
	name, ok := strings.CutPrefix(path, TeamPath(""))
	if !ok {
		return Problems{{File: path, Text: "no such path in the settings tree"}}
	}
	team, err := ParseTeam(path, text)
	if err != nil {
		return err
	}
	if team.Name != name {
		return Problems{{File: path, Path: "Name", Text: "must be " + name + ", as in the path"}}
	}
	t.Teams = append(t.Teams, team)
	return nil
}

// Split encodes each subtree of t as TOML and returns the texts by path. It is the inverse of Assemble.
func Split(t Tree) (map[string][]byte, error) {
	texts := map[string][]byte{}
	fleet, err := Format(t.Fleet)
	if err != nil {
		return nil, err
	}
	texts[FleetPath] = fleet
	for _, team := range t.Teams {
		text, err := Format(team)
		if err != nil {
			return nil, err
		}
		texts[TeamPath(team.Name)] = text
	}
	return texts, nil
}
