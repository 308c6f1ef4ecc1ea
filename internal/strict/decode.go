package strict

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Decode decodes JSON in one of the project's own formats; an unknown field is an error.
func Decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return errors.Wrap(d.Decode(v), "decoding JSON")
}
