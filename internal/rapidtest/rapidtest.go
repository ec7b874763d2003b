// Package rapidtest runs rapid properties under a fixed seed, so that every
// run of the tests checks the same cases and gives the same verdict.
package rapidtest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// SeedVariable names the environment variable that replaces the fixed seed
// for a longer search.
const SeedVariable = "EELGRASS_RAPID_SEED"

const defaultSeed = "20261203"

// Check runs prop under the fixed seed, or under the seed in SeedVariable.
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
