// Package rapidtest runs rapid properties with a fixed seed, so that every run of
// the tests checks the same cases and gives the same result. An environment
// variable replaces the seed.
package rapidtest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// SeedVariable is the name of the environment variable that replaces the fixed
// seed, for a longer search with other cases.
const SeedVariable = "EELGRASS_RAPID_SEED"

// defaultSeed is the seed that is used if SeedVariable is not set.
const defaultSeed = "20261203"

// Check runs prop with the fixed seed, or with the seed in SeedVariable if set.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	seed := os.Getenv(SeedVariable)
	if seed == "" {
		seed = defaultSeed
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		t.Fatalf("set rapid seed %q: %v", seed, err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatalf("set rapid.nofailfile: %v", err)
	}
	rapid.Check(t, prop)
}
