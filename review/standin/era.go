package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	configApply = 2000 * time.Millisecond // bounds.config_apply_ms of a small deployment
	contactTime = 3 * time.Second         // bounds.contact_ms
	// The store is away for awayTime and comes back from a copy that is copyAge old. Meanwhile
	// the operator has written a few versions.
	copyAge       = 7 * time.Second
	awayTime      = time.Second
	lostVersions  = 3
	versionsApart = 2 * time.Second

	oldKey = "key-that-is-dropped"
	newKey = "key-that-is-added"
)

// olderCopy lets the store come back from an older copy, as in a drill. Everything that the
// operator and the servers wrote is written again. Later, when the store has been stable for over
// contact_ms, the operator drops one key and adds another. Rule CONFIG: a request sent later than
// config_apply_ms after the store's answer is not handled as only the older version allows.
func olderCopy(w *world) bool {
	version := 1
	keys := []string{apiKey, oldKey}
	write := func() time.Time {
		w.store.set("config", "main", configuration(version, "desk", 1, keys...))
		return time.Now()
	}
	write()
	for i := range 3 {
		w.addServer(&server{id: fmt.Sprintf("i-%d", i+1), service: "desk", work: 30 * time.Millisecond, slots: 6})
	}
	w.instances = startInstances(w.dir, w.storeAddr, w.storeAddr, w.storeAddr)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, key := range []string{apiKey, oldKey, newKey} {
		for j := range w.instances {
			c := &client{address: w.instances[j].front, records: w.records, key: key}
			clients.Go(func() {
				defer c.close()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					c.post("/desk/checkin", fmt.Sprintf("o-%d-%d-%d", i, j, n), 3*time.Second)
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	w.store.copyNow()
	copied := time.Now()
	for range lostVersions {
		time.Sleep(versionsApart)
		version++
		write()
	}
	time.Sleep(time.Until(copied.Add(copyAge)))
	if w.trouble {
		w.store.goAway()
		w.note("%s  the store is away", w.since(time.Now()))
		time.Sleep(awayTime)
		lost := w.store.comeBack()
		w.note("%s  it comes back from a copy that is %v old; its revision has gone back by %d", w.since(time.Now()), time.Since(copied).Round(100*time.Millisecond), lost)
		write()
		for _, s := range w.servers {
			w.store.set("servers", s.id, s.entry(2))
		}
		w.note("%s  the operator and the servers have written again", w.since(time.Now()))
	}
	time.Sleep(contactTime + 2*time.Second)
	version++
	keys = []string{apiKey, newKey}
	acked := write()
	w.note("%s  the store accepts version %d, which drops one key and adds another", w.since(acked), version)
	time.Sleep(configApply + 8*time.Second)
	close(stop)
	clients.Wait()
	return w.judgeConfig(acked)
}

func (w *world) judgeConfig(acked time.Time) bool {
	w.records.mu.Lock()
	defer w.records.mu.Unlock()
	ran := map[string]bool{}
	for _, a := range w.records.arrivals {
		ran[a.attempt] = ran[a.attempt] || a.ran
	}
	dropped, refused, noted := 0, 0, 0
	before, after := map[string]map[int]int{}, map[string]map[int]int{}
	for _, s := range w.records.attempts {
		counts := before
		if s.at.After(acked) {
			counts = after
		}
		if counts[s.key] == nil {
			counts[s.key] = map[int]int{}
		}
		counts[s.key][s.status]++
		if s.at.Sub(acked) <= configApply {
			continue
		}
		what := ""
		switch {
		case s.key == oldKey && ran[s.attempt]:
			dropped++
			what = "runs with the key that was dropped"
		case s.key == newKey && s.status == 401:
			refused++
			what = "is refused though its key was added"
		}
		if what != "" && noted < 30 {
			noted++
			w.note("%s  attempt %s %s, %d ms after the store's answer; the client got %d", w.since(s.at), s.attempt, what, s.at.Sub(acked).Milliseconds(), s.status)
		}
	}
	w.note("attempts by key and status before the last version: %v", before)
	w.note("and after it: %v", after)
	w.note("later than config_apply_ms: %d requests ran with the dropped key, %d with the added key were refused with 401", dropped, refused)
	return dropped+refused > 0
}
