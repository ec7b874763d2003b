package crashwatch

import (
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// Settings change what is held back because upstreams crash under it.
type Settings struct {
	// Exempt are keys that are not held, in the form of the log's "requests
	// quarantined".
	Exempt []string `json:"exempt"`
}

// Keys returns the exempt keys, without those that are invalid.
func (s *Settings) Keys() []quarantine.Key {
	var out []quarantine.Key
	for _, text := range s.Exempt {
		if k, err := quarantine.ParseKey(text); err == nil {
			out = append(out, k)
		}
	}
	return out
}

// Check requires that all keys are valid. field is the name of the list.
func (s *Settings) Check(c *settings.Checks, field string) {
	c.Require(len(s.Keys()) == len(s.Exempt), field, "must be a list of keys such as part/SERVICE/5c1e07a2")
}
