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

// writeMarker stores a document whose list of models has an entry named after
// the marker number, and returns the version of the document.
func (f *fleet) writeMarker(marker int) uint64 {
	f.t.Helper()
	return f.edit(func(doc *config.Service) {
		doc.Models = []config.Model{doc.Models[0], {Name: fmt.Sprint(markerPrefix, marker), MemoryMB: 1}}
	})
}

// servedMarker returns the marker number in a response to GET /v1/models, 0 if
// it has none, and -1 if the request failed.
func servedMarker(res response) int {
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if res.err != nil || res.status != http.StatusOK || json.Unmarshal(res.body, &list) != nil {
		return -1
	}
	n := 0
	for _, m := range list.Data {
		_, _ = fmt.Sscanf(m.ID, markerPrefix+"%d", &n)
	}
	return n
}

// awaitMarker waits until the instances serve a document with the given marker.
func (f *fleet) awaitMarker(want int, entries ...*entry) {
	f.t.Helper()
	c := newCaller(f.t, f.key)
	for _, e := range entries {
		f.eventually(promptTimeout, fmt.Sprintf("marker %d in force at %s", want, e.name), func() bool {
			return servedMarker(c.get(e.url()+"/v1/models")) == want
		})
	}
}

// rollbackWatcher polls the marker that each instance serves and records every
// change to a lower one.
type rollbackWatcher struct {
	wg        sync.WaitGroup
	stop      context.CancelFunc
	mu        sync.Mutex
	rollbacks []string // instance and markers of each change to a lower one
}

func (f *fleet) watchForRollbacks() *rollbackWatcher {
	ctx, stop := context.WithCancel(context.Background())
	w := &rollbackWatcher{stop: stop}
	f.t.Cleanup(func() {
		if rollbacks := w.stopAndWait(); f.t.Failed() {
			f.t.Logf("changes to a lower marker: %v", rollbacks)
		}
	})
	for _, e := range f.entries {
		c := newCallerWithoutKeepAlive(f.t, f.key)
		w.wg.Go(func() { w.run(ctx, c, e) })
	}
	return w
}

func (w *rollbackWatcher) run(ctx context.Context, c *caller, e *entry) {
	highest := 0
	for ctx.Err() == nil {
		n := servedMarker(c.get(e.url() + "/v1/models"))
		if n >= 0 && n < highest {
			w.mu.Lock()
			w.rollbacks = append(w.rollbacks, fmt.Sprintf("%s: %d after %d", e.name, n, highest))
			w.mu.Unlock()
		}
		highest = max(highest, n)
		time.Sleep(pollInterval / 4)
	}
}

// stopAndWait stops the watcher and returns the recorded rollbacks.
func (w *rollbackWatcher) stopAndWait() []string {
	w.stop()
	w.wg.Wait()
	return w.rollbacks
}

// TestNewInstanceStartsDuringPlatformOutage checks that an instance that starts
// during a platform outage, and that its peers do not know, fetches the
// configuration in force from a peer and accepts the keys in it. After the outage
// it serves, once another instance has taken the lease of the killed one and the
// new zone leader grants shares.
func TestNewInstanceStartsDuringPlatformOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	f.writeMarker(1)
	f.awaitMarker(1, f.entries...)
	f.writeMarker(2)
	f.awaitMarker(2, f.entries...)
	f.setPlatformFaults(`{"outage": true}`)
	f.entry("north-2").proc.Kill()
	added := f.newEntry("north-3", "north")
	f.startEntry(added)
	f.awaitMarker(2, added)
	f.setPlatformFaults(`{"outage": false}`)
	f.writeMarker(3)
	f.awaitMarker(3, f.entry("north-1"), f.entry("south-1"), f.entry("south-2"), added)
	f.awaitServing(takeoverTimeout, added)
}

// TestRestartedInstanceServesDuringPlatformOutage checks that an instance that is
// restarted at its former address during a platform outage serves again.
func TestRestartedInstanceServesDuringPlatformOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	f.setPlatformFaults(`{"outage": true}`)
	restarted := f.entry("north-2")
	restarted.proc.Kill()
	f.startEntry(restarted)
	f.awaitReady(restarted)
	f.awaitServing(promptTimeout, restarted)
}

// TestConfigurationNeverReverts checks that only a newer, valid document replaces
// the one in force.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	f.runSubtest("invalid document", invalidDocument)
	f.runSubtest("paused zone with older version", pausedZoneWithOlderVersion)
}

// pausedZoneWithOlderVersion pauses all instances of a zone that is partitioned
// from the platform. When they resume with an older version, no instance that
// has a newer one may revert to it.
func pausedZoneWithOlderVersion(t *testing.T, f *fleet) {
	w := f.watchForRollbacks()
	f.proxies["south"].Blackhole()
	const first, last = 10, 15
	for n := first; n <= last; n++ {
		for _, e := range f.inZone("south") {
			e.proc.Pause()
		}
		f.writeMarker(n)
		f.awaitMarker(n, f.inZone("north")...)
		for _, e := range f.inZone("south") {
			e.proc.Resume()
		}
		f.awaitMarker(n, f.entries...)
	}
	must.SliceEmpty(t, w.stopAndWait())
}

// invalidDocument checks that a document that fails validation does not replace
// the one in force, and that the status names its line and field.
func invalidDocument(t *testing.T, f *fleet) {
	f.writeMarker(1)
	f.awaitMarker(1, f.entries...)
	w := f.watchForRollbacks()
	badVersion := f.edit(func(doc *config.Service) {
		doc.Models = []config.Model{{Name: "edition-2", MemoryMB: 1}, {Name: "edition-0", MemoryMB: -1}}
	})
	want := fmt.Sprintf("version %d failed its check: line 1, field models/1/memory_mb", badVersion)
	f.eventually(promptTimeout, "status shows "+want, func() bool {
		return strings.Count(f.ctl("status"), want) == len(zoneNames)
	})
	f.awaitMarker(1, f.entries...)
	restarted := f.entry("south-1")
	restarted.proc.Kill()
	f.startEntry(restarted)
	f.awaitMarker(1, restarted)
	f.writeMarker(3)
	f.awaitMarker(3, f.entries...)
	f.eventually(promptTimeout, "status shows no failed check", func() bool {
		return !strings.Contains(f.ctl("status"), "failed its check")
	})
	must.SliceEmpty(t, w.stopAndWait())
}

// TestPlatformOutageAndLatency checks that requests succeed while the platform is
// unavailable, slow or partitioned, and that edits come into force while it is
// slow and after it has recovered.
func TestPlatformOutageAndLatency(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	load := f.startLoad(f.allEntries)
	for i, fault := range []string{`{"outage": true}`, `{"outage": false, "latency_ms": 400}`} {
		f.setPlatformFaults(fault)
		load.awaitRequests(f, 200)
		if i == 1 {
			f.writeMarker(1)
			f.awaitMarker(1, f.entries...)
		}
	}
	f.setPlatformFaults(`{"latency_ms": 0}`)
	for _, zone := range zoneNames {
		f.proxies[zone].Blackhole()
	}
	load.awaitRequests(f, 200)
	for _, zone := range zoneNames {
		f.proxies[zone].Restore()
	}
	f.writeMarker(2)
	f.awaitMarker(2, f.entries...)
	must.SliceEmpty(t, load.stopAndWait())
}
