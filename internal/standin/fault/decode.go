package fault

import (
	"bytes"
	"encoding/json"
)

// applyJSON overwrites the fields of f that the JSON body names. It returns an
// error if the body names an unknown field.
func applyJSON(body []byte, f *Faults) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	return dec.Decode(f)
}
