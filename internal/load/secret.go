package load

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
)

// redacted is printed in place of a secret.
const redacted = "[redacted]"

// Secret is an API key. It is printed, logged and encoded as a placeholder.
type Secret string

// String implements fmt.Stringer.
func (Secret) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (Secret) GoString() string { return redacted }

// LogValue implements slog.LogValuer.
func (Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalJSON implements json.Marshaler.
func (Secret) MarshalJSON() ([]byte, error) { return json.Marshal(redacted) }

// ReadKeys sets the key of each flow that has a KeyFile to the content of that
// file.
func (e *Experiment) ReadKeys() error {
	for i := range e.Flows {
		f := &e.Flows[i]
		if f.KeyFile == "" {
			continue
		}
		text, err := os.ReadFile(f.KeyFile)
		if err != nil {
			return fmt.Errorf("load: read key of flow %s: %w", f.Name, err)
		}
		f.Key = Secret(strings.TrimSpace(string(text)))
	}
	return nil
}
