package load

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
)

// redacted stands for a secret wherever one would be printed.
const redacted = "[redacted]"

// Secret is a key. It prints, logs and encodes as a placeholder.
type Secret string

// String implements fmt.Stringer.
func (Secret) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (Secret) GoString() string { return redacted }

// LogValue implements slog.LogValuer.
func (Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalJSON implements json.Marshaler.
func (Secret) MarshalJSON() ([]byte, error) { return json.Marshal(redacted) }

// ReadKeys fills in the keys that the flows name by file.
func (e *Experiment) ReadKeys() error {
	for i := range e.Flows {
		f := &e.Flows[i]
		if f.KeyFile == "" {
			continue
		}
		text, err := os.ReadFile(f.KeyFile)
		if err != nil {
			return fmt.Errorf("load: key of flow %s: %w", f.Name, err)
		}
		f.Key = Secret(strings.TrimSpace(string(text)))
	}
	return nil
}
