package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// fields are the settings of a process under the names of DEPLOY.md, nested maps included.
type fields map[string]any

var sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-zA-Z0-9_.]+)\}\}(.*?)\{\{/[a-zA-Z0-9_.]+\}\}`)
var valuePattern = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)\}\}`)

// render fills the settings template of the deploy file, as far as the project's template uses the placeholders.
func render(template string, f fields) string {
	out := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		m := sectionPattern.FindStringSubmatch(section)
		value := f.lookup(m[1])
		list, isList := value.([]string)
		if !isList {
			if value == nil {
				return ""
			}
			return m[2]
		}
		var b strings.Builder
		for i, item := range list {
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			b.WriteString(strings.NewReplacer("{{.}}", item, "{{,}}", comma).Replace(m[2]))
		}
		return b.String()
	})
	return valuePattern.ReplaceAllStringFunc(out, func(p string) string {
		return text(f.lookup(valuePattern.FindStringSubmatch(p)[1]))
	})
}

// lookup returns the value at a dotted path, or nil.
func (f fields) lookup(path string) any {
	var current any = f
	for part := range strings.SplitSeq(path, ".") {
		switch c := current.(type) {
		case fields:
			current = c[part]
		case []int:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i >= len(c) {
				return nil
			}
			current = c[i]
		default:
			return nil
		}
	}
	return current
}

func text(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	}
	b, _ := json.Marshal(v)
	return string(b)
}
