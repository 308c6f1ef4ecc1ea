package logfile

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEventsAreDocumented checks that the events in the source code and in the event tables of the operations page agree.
func TestEventsAreDocumented(t *testing.T) {
	logged := map[string]bool{"lines dropped": true} // This package writes it without a logger.
	root := filepath.Join("..", "..")
	for _, dir := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				collectEvents(t, path, logged)
			}
			return err
		})
		require.NoError(t, err)
	}
	text, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	documented := map[string]bool{}
	for _, table := range regexp.MustCompile(`(?m)^\| event \|.*\n((?:\|.*\n)+)`).FindAllStringSubmatch(string(text), -1) {
		for row := range strings.Lines(table[1]) {
			first := strings.Split(row, "|")[1]
			for _, name := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(first, -1) {
				documented[name[1]] = true
			}
		}
	}
	require.Equal(t, sortedKeys(logged), sortedKeys(documented))
}

func sortedKeys(names map[string]bool) []string {
	var list []string
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// collectEvents adds the events of one source file to events. An event is the first argument of a call on a logger.
func collectEvents(t *testing.T, path string, events map[string]bool) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	require.NoError(t, err)
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, method.Sel.Name) || !isLogger(method.X) {
			return true
		}
		literal, ok := call.Args[0].(*ast.BasicLit)
		require.True(t, ok, "%s: an event is not a string literal", path)
		name, err := strconv.Unquote(literal.Value)
		require.NoError(t, err)
		events[name] = true
		return true
	})
}

// isLogger reports whether an expression is a variable or field named log, which all loggers must be for this test.
func isLogger(x ast.Expr) bool {
	switch x := x.(type) {
	case *ast.Ident:
		return strings.EqualFold(x.Name, "log")
	case *ast.SelectorExpr:
		return strings.EqualFold(x.Sel.Name, "log")
	}
	return false
}
