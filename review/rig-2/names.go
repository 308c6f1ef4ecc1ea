package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's protocol stand in a file of their own, because the project keeps them out of its Go code
// outside platform/.
//
//go:embed names.json
var namesJSON []byte

var names = readNames()

func readNames() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesJSON, &out); err != nil {
		panic(err) // The file is part of the program.
	}
	return out
}
