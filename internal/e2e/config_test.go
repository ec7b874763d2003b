package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/shoenig/test/must"
)

const markerPrefix = "edition-"

// mark writes a document with the next edition in its list of models.
func (f *fleet) mark(edition int) uint64 {
	f.t.Helper()
	return f.edit(func(doc *config.Service) {
		doc.Models = []config.Model{doc.Models[0], {Name: fmt.Sprint(markerPrefix, edition), MemoryMB: 1}}
	})
}

// edition returns the edition that an answer to GET /v1/models shows, -1 if
// the answer is a refusal or none.
func edition(a answer) int {
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if a.err != nil || a.status != http.StatusOK || json.Unmarshal(a.body, &list) != nil {
		return -1
	}
	n := 0
	for _, m := range list.Data {
		_, _ = fmt.Sscanf(m.ID, markerPrefix+"%d", &n)
	}
	return n
}

// awaitEdition waits until instances serve an edition.
func (f *fleet) awaitEdition(want int, entries ...*entry) {
	f.t.Helper()
	c := newCaller(f.t, f.key)
	for _, e := range entries {
		f.eventually(promptBound, fmt.Sprintf("edition %d in force at %s", want, e.name), func() bool {
			return edition(c.get(e.url()+"/v1/models")) == want
		})
	}
}

// watcher asks all instances for the edition in force until it is stopped.
type watcher struct {
	wg   sync.WaitGroup
	stop context.CancelFunc
	mu   sync.Mutex
	back []string // where an older edition came back
}

func (f *fleet) watch() *watcher {
	ctx, stop := context.WithCancel(context.Background())
	w := &watcher{stop: stop}
	f.t.Cleanup(func() {
		if back := w.end(); f.t.Failed() {
			f.t.Logf("older editions came back: %v", back)
		}
	})
	for _, e := range f.entries {
		c := newFreshCaller(f.t, f.key)
		w.wg.Go(func() { w.run(ctx, c, e) })
	}
	return w
}

func (w *watcher) run(ctx context.Context, c *caller, e *entry) {
	highest := 0
	for ctx.Err() == nil {
		n := edition(c.get(e.url() + "/v1/models"))
		if n >= 0 && n < highest {
			w.mu.Lock()
			w.back = append(w.back, fmt.Sprintf("%s: %d after %d", e.name, n, highest))
			w.mu.Unlock()
		}
		highest = max(highest, n)
		time.Sleep(pollPeriod / 4)
	}
}

// end stops the watcher and returns where an older edition came back.
func (w *watcher) end() []string {
	w.stop()
	w.wg.Wait()
	return w.back
}

// TestNewcomerWhileThePlatformIsAway: an instance that starts without the
// platform and unknown to the others takes the configuration in force from a
// peer, and knows keys by it. After the outage it serves, once the lease of the
// instance that died has passed on and the new holder gives out shares.
func TestNewcomerWhileThePlatformIsAway(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	f.mark(1)
	f.awaitEdition(1, f.entries...)
	f.mark(2)
	f.awaitEdition(2, f.entries...)
	f.faults(`{"outage": true}`)
	f.entry("north-2").proc.Kill()
	newcomer := f.newEntry("north-3", "north")
	f.startEntry(newcomer)
	f.awaitEdition(2, newcomer)
	f.faults(`{"outage": false}`)
	f.mark(3)
	f.awaitEdition(3, f.entry("north-1"), f.entry("south-1"), f.entry("south-2"), newcomer)
	f.awaitServing(takeoverTimeout, newcomer)
}

// TestRestartedInstanceServesWhileThePlatformIsAway: an instance that comes
// back at its address while the platform is away serves again.
func TestRestartedInstanceServesWhileThePlatformIsAway(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	f.faults(`{"outage": true}`)
	restarted := f.entry("north-2")
	restarted.proc.Kill()
	f.startEntry(restarted)
	f.awaitReady(restarted)
	f.awaitServing(promptBound, restarted)
}

// TestConfigurationNeverReverts: nothing but a newer document that passes its
// check replaces the one in force.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	f.run("failed document", failedDocument)
	f.run("older versions", olderVersions)
}

// olderVersions: instances of a zone that was paused and is
// cut off from the platform wake with an old version, and no instance that had
// a newer one goes back.
func olderVersions(t *testing.T, f *fleet) {
	w := f.watch()
	f.proxies["south"].Silence()
	const first, last = 10, 15
	for n := first; n <= last; n++ {
		for _, e := range f.inZone("south") {
			e.proc.Pause()
		}
		f.mark(n)
		f.awaitEdition(n, f.inZone("north")...)
		for _, e := range f.inZone("south") {
			e.proc.Resume()
		}
		f.awaitEdition(n, f.entries...)
	}
	must.SliceEmpty(t, w.end())
}

// failedDocument: a document that fails its check
// changes nothing, and the status names its line and field.
func failedDocument(t *testing.T, f *fleet) {
	f.mark(1)
	f.awaitEdition(1, f.entries...)
	w := f.watch()
	bad := f.edit(func(doc *config.Service) {
		doc.Models = []config.Model{{Name: "edition-2", MemoryMB: 1}, {Name: "edition-0", MemoryMB: -1}}
	})
	want := fmt.Sprintf("version %d failed its check: line 1, field models/1/memory_mb", bad)
	f.eventually(promptBound, "status says "+want, func() bool {
		return strings.Count(f.ctl("status"), want) == len(zoneNames)
	})
	f.awaitEdition(1, f.entries...)
	restarted := f.entry("south-1")
	restarted.proc.Kill()
	f.startEntry(restarted)
	f.awaitEdition(1, restarted)
	f.mark(3)
	f.awaitEdition(3, f.entries...)
	f.eventually(promptBound, "status shows no failed check", func() bool {
		return !strings.Contains(f.ctl("status"), "failed its check")
	})
	must.SliceEmpty(t, w.end())
}

// TestPlatformOutageAndLatency: running services go on while the platform is
// away or slow, and edits come into force once it is back.
func TestPlatformOutageAndLatency(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	load := f.startLoad(f.all)
	for i, fault := range []string{`{"outage": true}`, `{"outage": false, "latency_ms": 400}`} {
		f.faults(fault)
		load.awaitMore(f, 200)
		if i == 1 {
			f.mark(1)
			f.awaitEdition(1, f.entries...)
		}
	}
	f.faults(`{"latency_ms": 0}`)
	for _, zone := range zoneNames {
		f.proxies[zone].Silence()
	}
	load.awaitMore(f, 200)
	for _, zone := range zoneNames {
		f.proxies[zone].Restore()
	}
	f.mark(2)
	f.awaitEdition(2, f.entries...)
	must.SliceEmpty(t, load.end())
}
