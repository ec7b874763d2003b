// Command 8 runs the case of review/8: an entry instance that was stopped and started cuts streams
// of sound servers.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/eelgrassbay/eelgrassbay/review/testbed"
)

const (
	readyLimit = 8 * time.Second
	answerTime = 16 * time.Second
	// grace is grace_s. A SIGTERM counts as planned work until a second after it.
	grace  = 8 * time.Second
	window = grace + time.Second
	// learning is how many streams an instance may bring until none is cut any more.
	learning = 12
	pause    = 30 * time.Millisecond // between two events
	requests = 4                     // of each route after the restart
)

// The number of an event is that of the tokens so far, as an event holds several.
var (
	fixedSteps  = []int{5, 10, 15, 20, 25, 28}
	variedSteps = []int{3, 6, 11, 13, 18, 23, 25}
)

// kind is a route with what its streams bring.
type kind struct {
	name, path string
	numbers    []int
}

var kinds = []kind{
	{"batch, not resumable", "/batch/x", variedSteps},
	{"note, resumable", "/note/x", fixedSteps},
}

// run is one run of a request at the server.
type run struct {
	whole bool // all events were sent
	left  bool // the connection was closed by the instance before
}

type rig struct {
	record    *testbed.Record
	instances []*testbed.Instance
	mu        sync.Mutex
	runs      map[string][]*run // by ID of the request
}

// stream sends the events after the one that the request names.
func (g *rig) stream(w http.ResponseWriter, r *http.Request) {
	id, numbers, after := r.Header.Get("X-Attempt-Id"), fixedSteps, 0
	if strings.HasPrefix(r.URL.Path, "/batch/") {
		numbers = variedSteps
	}
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after) // absent at the beginning of a stream
	this := &run{}
	g.mu.Lock()
	g.runs[id] = append(g.runs[id], this)
	g.mu.Unlock()
	g.record.Printf("server: run of %s after event %d", id, after)
	w.Header().Set("Content-Type", "text/event-stream")
	last := 0
	for _, n := range numbers {
		if n <= after {
			continue
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: tokens up to %d\n\n", n, n)
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		last = n
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			err = r.Context().Err()
		}
		if err != nil {
			g.mu.Lock()
			this.left = true
			g.mu.Unlock()
			g.record.Printf("server: connection of %s closed by the instance after event %d", id, last)
			return
		}
	}
	g.mu.Lock()
	this.whole = true
	g.mu.Unlock()
}

// call sends one request and reports whether its answer was whole. cut is whether the instance
// ended the connection although the server, which had the request, went on.
func (g *rig) call(i *testbed.Instance, k kind) (whole, cut bool) {
	id := testbed.NewAttemptID()
	g.record.Printf("client: %s to %s, %s", id, i.Name, k.name)
	a := testbed.SendOnce(i.Listen, testbed.Post(k.path, "X-Attempt-Id: "+id, "X-Model: m1", "X-Token-Usage: 100,30", "X-Deadline-Ms: 15000", "Connection: close"), answerTime)
	want := ""
	for _, n := range k.numbers {
		want += fmt.Sprintf("id: %d\ndata: tokens up to %d\n\n", n, n)
	}
	whole = a.Err == nil && a.Status == http.StatusOK && a.Body == want
	time.Sleep(2 * pause) // until the server has seen the end
	g.mu.Lock()
	for _, r := range g.runs[id] {
		cut = cut || a.Err != nil && r.left
	}
	g.mu.Unlock()
	g.record.Printf("client: %s has %d, %d bytes of %d, whole %v, error %v", id, a.Status, len(a.Body), len(want), whole, a.Err)
	return whole, cut
}

// warmUp sends streams to an instance until one of each kind in a row is whole, as the first ones
// that it sees may not be.
func (g *rig) warmUp(i *testbed.Instance) bool {
	for range learning {
		all := true
		for _, k := range kinds {
			whole, _ := g.call(i, k)
			all = all && whole
		}
		if all {
			return true
		}
	}
	return false
}

func (g *rig) start(dir string) error {
	store, err := testbed.NewStore()
	if err != nil {
		return err
	}
	if err := testbed.StartUpstream(store, "i-1", "llm", "z1", 64, []string{"m1"}, g.stream); err != nil {
		return err
	}
	routes := []any{testbed.StreamRoute("batch", "/batch/", "llm", 1, false), testbed.StreamRoute("note", "/note/", "llm", 2, true)}
	if err := store.Put("config", "main", testbed.Config(1, routes, []any{testbed.ModelService("llm", 1, "m1")})); err != nil {
		return err
	}
	zones := []string{"z1", "z2", "z3"}
	peers, err := testbed.Addresses(len(zones))
	if err != nil {
		return err
	}
	for n, zone := range zones {
		i, err := testbed.NewInstance(dir, fmt.Sprintf("edge-%d", n+1), zone, zones, store.Address, peers[n], peers)
		if err != nil {
			return err
		}
		if err := i.Start(); err != nil {
			return err
		}
		g.instances = append(g.instances, i)
	}
	return nil
}

// restart stops an instance with SIGTERM and starts it again when it has ended.
func (g *rig) restart(i *testbed.Instance) bool {
	g.record.Printf("platform: SIGTERM to %s", i.Name)
	if err := i.Signal(syscall.SIGTERM); err != nil {
		return false
	}
	select {
	case <-i.Ended():
	case <-time.After(grace):
		return false
	}
	g.record.Printf("platform: %s has ended and starts again", i.Name)
	return i.Start() == nil && i.WaitReady(readyLimit)
}

func (g *rig) run(dir string, trouble bool) int {
	if err := g.start(dir); err != nil {
		g.record.Printf("not started: %v", err)
		return testbed.ExitNotRun
	}
	for _, i := range g.instances {
		if !i.WaitReady(readyLimit) || !g.warmUp(i) {
			g.record.Printf("%s serves no streams", i.Name)
			return testbed.ExitNotRun
		}
	}
	g.record.Printf("all instances have brought whole streams; what follows is judged")
	first, began := g.instances[0], time.Now()
	if trouble && !g.restart(first) {
		g.record.Printf("%s did not start again", first.Name)
		return testbed.ExitNotRun
	}
	var cuts, sent atomic.Int64
	var all sync.WaitGroup
	for range requests {
		for _, k := range kinds {
			if time.Since(began) >= window {
				break
			}
			sent.Add(1)
			all.Go(func() {
				if _, cut := g.call(first, k); cut {
					cuts.Add(1)
				}
			})
		}
	}
	all.Wait()
	if sent.Load() == 0 {
		g.record.Printf("the restart took too long: nothing was sent within the planned work")
		return testbed.ExitNotRun
	}
	g.record.Printf("%d requests sent within %v of the planned work, %d cut by the instance while a sound server was at work", sent.Load(), window, cuts.Load())
	if cuts.Load() > 0 {
		return testbed.ExitBroken
	}
	return testbed.ExitHeld
}

func main() {
	os.Exit(testbed.Main(func(record *testbed.Record, dir string, trouble bool) (status int) {
		g := &rig{record: record, runs: map[string][]*run{}}
		defer func() {
			for _, i := range g.instances {
				i.Kill()
			}
		}()
		return g.run(dir, trouble)
	}))
}
