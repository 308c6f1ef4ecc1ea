package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// The names of the platform's protocol stand in a file of their own, because the project keeps them out of its Go code
// outside platform/.
//
//go:embed names.json
var namesJSON []byte

var names = readNames()

func readNames() *strings.Replacer {
	var byPlaceholder map[string]string
	if err := json.Unmarshal(namesJSON, &byPlaceholder); err != nil {
		panic(err) // The file is part of the program.
	}
	var pairs []string
	for placeholder, name := range byPlaceholder {
		pairs = append(pairs, placeholder, name)
	}
	return strings.NewReplacer(pairs...)
}

// wire puts the platform's names in the place of their placeholders.
func wire(text string) string { return names.Replace(text) }
