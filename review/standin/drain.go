package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	drainTime = 2000 * time.Millisecond // bounds.drain_ms of a small deployment
	// servesOn is how long a server serves on after its entry was removed: for drain_ms and a
	// little longer.
	servesOn = 4 * time.Second
	// watchEndsAfter is the time after which the store cuts off a watch that waits.
	watchEndsAfter = 500 * time.Millisecond
)

// goneServer removes the entry of a server that does not report draining, while the store cuts
// off watches that wait. Rule DRAIN: no request may reach the server later than drain_ms after
// the store has accepted the removal.
func goneServer(w *world) bool {
	w.configure("desk", 1)
	for i := range 3 {
		w.addServer(&server{id: fmt.Sprintf("i-%d", i+1), service: "desk", work: 100 * time.Millisecond, slots: 6})
	}
	leaving := w.servers[0]
	stop := make(chan struct{})
	w.instances = startInstances(w.dir, w.storeAddr, 3)
	if w.trouble {
		w.store.cutWatches(watchEndsAfter)
	}
	clients := w.checkInAll(stop, w.instances)
	time.Sleep(6 * time.Second) // all machines have been in touch for contact_ms
	removed := w.store.remove("servers", leaving.id)
	w.note("%s  the store accepts the removal of %s, which serves on for %v", w.since(removed), leaving.id, servesOn)
	time.Sleep(servesOn)
	leaving.exit()
	w.note("%s  %s ends", w.since(time.Now()), leaving.id)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	return w.judgeDrain(leaving.id, removed)
}

const (
	freezeTime = 5 * time.Second
	// A frozen machine freezes so long before the removal.
	frozenBefore = time.Second
	// servesOnLong is how long the server serves on in the case with a frozen machine: the pages
	// say drain_ms and a little longer, at times many seconds.
	servesOnLong = 8 * time.Second
)

// goneServerAfterFreeze removes the entry of a server that does not report draining, while one
// of three machines is frozen. Rule DRAIN, for the other two.
func goneServerAfterFreeze(w *world) bool {
	w.configure("desk", 1)
	for i := range 3 {
		w.addServer(&server{id: fmt.Sprintf("i-%d", i+1), service: "desk", work: 100 * time.Millisecond, slots: 6})
	}
	leaving := w.servers[0]
	stop := make(chan struct{})
	w.instances = startInstances(w.dir, w.storeAddr, 3)
	clients := w.checkInAll(stop, w.instances[1:])
	time.Sleep(6 * time.Second) // all machines have been in touch for contact_ms
	frozen := w.instances[0]
	if w.trouble {
		_ = frozen.cmd.Process.Signal(syscall.SIGSTOP)
		w.note("%s  %s freezes", w.since(time.Now()), frozen.name)
	}
	time.Sleep(frozenBefore)
	removed := w.store.remove("servers", leaving.id)
	w.note("%s  the store accepts the removal of %s, which serves on for %v", w.since(removed), leaving.id, servesOnLong)
	time.Sleep(freezeTime - frozenBefore)
	if w.trouble {
		_ = frozen.cmd.Process.Signal(syscall.SIGCONT)
		w.note("%s  %s goes on", w.since(time.Now()), frozen.name)
	}
	time.Sleep(time.Until(removed.Add(servesOnLong)))
	leaving.exit()
	w.note("%s  %s ends", w.since(time.Now()), leaving.id)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	return w.judgeDrain(leaving.id, removed)
}

// checkInAll starts clients of some instances, which run until stop is closed.
func (w *world) checkInAll(stop <-chan struct{}, instances []*instance) *sync.WaitGroup {
	var clients sync.WaitGroup
	for i := range 12 {
		c := &client{address: instances[i%len(instances)].front, records: w.records}
		clients.Go(func() {
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				c.post("/desk/checkin", fmt.Sprintf("o-%d-%d", i, n), 3*time.Second)
			}
		})
	}
	return &clients
}

func (w *world) judgeDrain(id string, removed time.Time) bool {
	w.records.mu.Lock()
	defer w.records.mu.Unlock()
	late, last, cut, byStatus := 0, time.Duration(0), 0, map[int]int{}
	for _, s := range w.records.attempts {
		byStatus[s.status]++
	}
	status := map[string]int{}
	for _, s := range w.records.attempts {
		status[s.attempt] = s.status
	}
	for _, a := range w.records.arrivals {
		after := a.at.Sub(removed)
		if a.server != id || after <= 0 {
			continue
		}
		last = max(last, after)
		if after <= drainTime {
			continue
		}
		late++
		if a.ran && !a.ended {
			cut++
		}
		if late <= 40 {
			w.note("%s  attempt %s (order %s) reaches %s %d ms after the removal; run: %v, ended: %v; the client got %d", w.since(a.at), a.attempt, a.order, id,
				after.Milliseconds(), a.ran, a.ended, status[a.attempt])
		}
	}
	w.note("watches cut off by the store: %d times", w.store.cuts)
	w.note("attempts of clients by status (0: no complete answer): %v", byStatus)
	w.note("last request at %s: %d ms after the removal; later than drain_ms: %d, of which runs cut by its end: %d", id, last.Milliseconds(), late, cut)
	return late > 0
}
