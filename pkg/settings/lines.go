package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// locate sets the file and line of problems from their paths.
func locate(file string, text []byte, problems Problems) Problems {
	lines := indexLines(text)
	for i := range problems {
		problems[i].File = file
		problems[i].Line = lines.find(problems[i].Path)
	}
	return problems
}

// lineIndex maps a dotted path, with array elements written as NAME[I], to its line number.
type lineIndex map[string]int

// find returns the line of path or of the nearest enclosing table, or 0 if neither is in the index.
func (x lineIndex) find(path string) int {
	for path != "" {
		if line, ok := x[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
	return 0
}

func indexLines(text []byte) lineIndex {
	x := lineIndex{}
	counts := map[string]int{}
	table := ""
	p := unstable.Parser{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = resolve(keyParts(e), counts)
			x.put(table, &p, e)
		case unstable.ArrayTable:
			parts := keyParts(e)
			parent := resolve(parts[:len(parts)-1], counts)
			name := join(parent, parts[len(parts)-1])
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			x.put(table, &p, e)
		case unstable.KeyValue:
			x.put(join(table, strings.Join(keyParts(e), ".")), &p, e)
		}
	}
	return x
}

func (x lineIndex) put(path string, p *unstable.Parser, e *unstable.Node) {
	it := e.Key()
	if !it.Next() {
		return
	}
	if _, ok := x[path]; !ok {
		x[path] = p.Shape(it.Node().Raw).Start.Line
	}
}

func keyParts(e *unstable.Node) []string {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return parts
}

// resolve returns the path of a table's key; a part that is an array of tables refers to the last element so far.
func resolve(parts []string, counts map[string]int) string {
	path := ""
	for _, part := range parts {
		path = join(path, part)
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func join(path, part string) string {
	if path == "" {
		return part
	}
	return path + "." + part
}
