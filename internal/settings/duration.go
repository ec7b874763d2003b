package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as a string such as "250ms" or "4h".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return fmt.Errorf("want a duration such as \"250ms\", got %s", b)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("want a duration such as \"250ms\", got %q", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// String returns the duration as time.Duration prints it.
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
