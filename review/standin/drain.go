package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	drainTime      = 2000 * time.Millisecond // bounds.drain_ms of a small deployment
	freezes        = 6
	freezeTime     = 5 * time.Second
	betweenFreezes = 4 * time.Second
	// The machine is frozen with its network: what was sent to it meanwhile is not acknowledged
	// and comes when TCP sends it again. After 4 s without an acknowledgement the pauses are over
	// 3 s long. Connections that it opens afterwards work at once.
	sentAgainAfter = 1500 * time.Millisecond
	// A frozen machine freezes so long before the removal.
	frozenBefore = time.Second
	// servesOnLong is how long the server serves on in the case with a frozen machine: the pages
	// say drain_ms and a little longer, at times many seconds.
	servesOnLong = 8 * time.Second
)

// goneServerAfterFreeze freezes one of three machines several times. Each time the entry of a
// server that does not report draining is removed meanwhile. Rule DRAIN, for the other two.
func goneServerAfterFreeze(w *world) bool {
	w.configure("desk", 1)
	for i := range freezes + 2 {
		w.addServer(&server{id: fmt.Sprintf("i-%d", i+1), service: "desk", work: 100 * time.Millisecond, slots: 6})
	}
	stop := make(chan struct{})
	link := newLink(w.storeAddr)
	defer link.close()
	w.instances = startInstances(w.dir, link.address(), w.storeAddr, w.storeAddr)
	clients := w.checkInAll(stop, w.instances[1:])
	frozen := w.instances[0]
	removed := make([]time.Time, freezes)
	time.Sleep(2 * time.Second)
	for n := range freezes {
		time.Sleep(betweenFreezes) // all machines have been in touch for contact_ms
		if w.trouble {
			_ = frozen.cmd.Process.Signal(syscall.SIGSTOP)
			link.suspend()
			w.note("%s  %s freezes", w.since(time.Now()), frozen.name)
		}
		time.Sleep(frozenBefore)
		leaving := w.servers[n]
		removed[n] = w.store.remove("servers", leaving.id)
		w.note("%s  the store accepts the removal of %s, which serves on for %v", w.since(removed[n]), leaving.id, servesOnLong)
		time.AfterFunc(servesOnLong, leaving.exit)
		time.Sleep(freezeTime - frozenBefore)
		if w.trouble {
			link.resume(sentAgainAfter)
			_ = frozen.cmd.Process.Signal(syscall.SIGCONT)
			w.note("%s  %s goes on", w.since(time.Now()), frozen.name)
		}
	}
	time.Sleep(servesOnLong)
	close(stop)
	clients.Wait()
	broken := false
	for n := range freezes {
		broken = w.judgeDrain(w.servers[n].id, removed[n]) || broken
	}
	return broken
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
		if late <= 8 {
			w.note("%s  attempt %s (order %s) reaches %s %d ms after the removal; run: %v, ended: %v; the client got %d", w.since(a.at), a.attempt, a.order, id,
				after.Milliseconds(), a.ran, a.ended, status[a.attempt])
		}
	}
	w.note("attempts of clients by status (0: no complete answer): %v", byStatus)
	w.note("last request at %s: %d ms after the removal; later than drain_ms: %d, of which runs cut by its end: %d", id, last.Milliseconds(), late, cut)
	return late > 0
}
