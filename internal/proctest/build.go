package proctest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

const commandPrefix = "github.com/eelgrassbay/eelgrassbay/cmd/"

// buildCache records the binaries that this test process has built.
var buildCache = struct {
	mu      sync.Mutex
	dir     string           // directory of the binaries; empty unless Main is running
	results map[string]error // build result by command name
}{results: map[string]error{}}

// Main runs the tests of a package, removes the binaries that were built for
// them and returns the exit code. TestMain must call it if a test uses Binary
// or Start.
func Main(m *testing.M) int {
	dir, err := os.MkdirTemp("", "eelgrass-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "proctest:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	buildCache.dir = dir
	return m.Run()
}

// Binary returns the path of the named command's binary. The binary is built on
// the first call only.
func Binary(t testing.TB, name string) string {
	t.Helper()
	buildCache.mu.Lock()
	defer buildCache.mu.Unlock()
	if buildCache.dir == "" {
		t.Fatal("proctest: TestMain must call Main")
	}
	path := filepath.Join(buildCache.dir, name)
	err, cached := buildCache.results[name]
	if !cached {
		err = buildCommand(path, commandPrefix+name)
		buildCache.results[name] = err
	}
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func buildCommand(path, importPath string) error {
	out, err := exec.Command("go", "build", "-o", path, importPath).CombinedOutput()
	if err != nil {
		return fmt.Errorf("proctest: build %s: %w\n%s", importPath, err, out)
	}
	return nil
}
