package settings

import (
	"encoding/hex"
	"fmt"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

var sharedValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	_ = v.RegisterValidation("sha256hex", isSHA256Hex)
	return v
})

func isSHA256Hex(field validator.FieldLevel) bool {
	const sha256Bytes = 32
	raw, err := hex.DecodeString(field.Field().String())
	return err == nil && len(raw) == sha256Bytes
}

// Check returns the problems of a tree: invalid values, duplicate names or keys, and references to unknown data centres.
func (t Tree) Check() Problems {
	problems := t.checkFields()
	problems = append(problems, t.checkDataCentres()...)
	return append(problems, t.checkTeams()...)
}

func (t Tree) checkFields() Problems {
	var invalid validator.ValidationErrors
	if !errors.As(sharedValidator().Struct(t), &invalid) {
		return nil
	}
	problems := make(Problems, 0, len(invalid))
	for _, field := range invalid {
		path := strings.TrimPrefix(field.Namespace(), "Tree.")
		problems = append(problems, Problem{Path: path, Text: problemText(field)})
	}
	return problems
}

func problemText(field validator.FieldError) string {
	switch field.Tag() {
	case "required":
		return "must be given"
	case "sha256hex":
		return "must be a SHA-256 hash of 64 hexadecimal digits"
	case "hostname_port":
		return "must be HOST:PORT"
	case "unique":
		return strings.TrimSpace("holds the same " + field.Param() + " twice")
	default:
		return strings.TrimSpace("breaks the rule " + field.Tag() + " " + field.Param())
	}
}

func (t Tree) checkDataCentres() Problems {
	centres := map[string]bool{}
	for _, name := range t.Fleet.DataCentres {
		centres[name] = true
	}
	var problems Problems
	check := func(list string, i int, centre string) {
		if !centres[centre] {
			path := fmt.Sprintf("Fleet.%s[%d].DataCentre", list, i)
			problems = append(problems, Problem{Path: path, Text: fmt.Sprintf("no data centre %q", centre)})
		}
	}
	for i, vm := range t.Fleet.VMs {
		check("VMs", i, vm.DataCentre)
	}
	for i, e := range t.Fleet.Endpoints {
		check("Endpoints", i, e.DataCentre)
	}
	return problems
}

func (t Tree) checkTeams() Problems {
	var problems Problems
	teams := map[string]bool{}
	keyOwners := map[string]string{}
	for i, team := range t.Teams {
		if teams[team.Name] {
			problems = append(problems, Problem{Path: fmt.Sprintf("Teams[%d].Name", i), Text: fmt.Sprintf("team %q stands twice", team.Name)})
		}
		teams[team.Name] = true
		for j, a := range team.Accounts {
			if owner, ok := keyOwners[a.KeySHA256]; ok {
				path := fmt.Sprintf("Teams[%d].Accounts[%d].KeySHA256", i, j)
				problems = append(problems, Problem{Path: path, Text: "the key is also that of account " + owner})
			}
			keyOwners[a.KeySHA256] = a.Name
		}
	}
	return problems
}
