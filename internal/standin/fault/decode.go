package fault

import (
	"bytes"
	"encoding/json"
)

// decode overwrites the fields of f that the body names.
func decode(body []byte, f *Faults) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	return dec.Decode(f)
}
