package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

const (
	// Both servers are full, by requests of other callers, for fullFor in each fullPeriod.
	fullPeriod = time.Second
	fullFor    = 60 * time.Millisecond
	// The faulty server sends answers twice in spells of spoiledFor, spoiledPause apart, and in
	// each spell no more than spoiledShare of its answers.
	spoiledFor   = 5 * time.Second
	spoiledPause = 4 * time.Second
	spoiledShare = 0.03
	refusedRun   = 45 * time.Second
)

// spoiling decides which rejections of the faulty server are sent twice.
type spoiling struct {
	began           time.Time
	spell           int
	before, spoiled int // answers of the server before the spell, and those sent twice in it
	allSpoiled      int
}

// repeats is asked for each rejection.
func (s *spoiling) repeats(answers int) bool {
	at := time.Since(s.began)
	if at%(spoiledFor+spoiledPause) < spoiledPause {
		s.before = answers
		return false
	}
	if spell := int(at / (spoiledFor + spoiledPause)); spell != s.spell {
		s.spell, s.spoiled = spell, 0
	}
	if float64(s.spoiled+1) > spoiledShare*float64(answers-s.before) {
		return false
	}
	s.spoiled++
	s.allSpoiled++
	return true
}

// twiceRejected has two servers that reject requests while they are full. One of them sends a
// few of its rejections twice, the second copy late. Rule REFUSED: a request that is not
// idempotent and answered 408, 421, 429 or 503 has not run and never will.
func twiceRejected(w *world) bool {
	w.configure("desk", 3)
	began := time.Now()
	full := func() bool { return time.Since(began)%fullPeriod < fullFor }
	spoils := &spoiling{began: began, spell: -1}
	faulty := &server{id: "i-1", service: "desk", work: 20 * time.Millisecond, slots: 6, full: full}
	if w.trouble {
		faulty.repeats = spoils.repeats
	}
	w.addServer(faulty)
	w.addServer(&server{id: "i-2", service: "desk", work: 20 * time.Millisecond, slots: 6, full: full})
	w.instances = startInstances(w.dir, w.storeAddr, w.storeAddr)
	var clients sync.WaitGroup
	end := time.Now().Add(refusedRun)
	for i := range 2 {
		c := &client{address: w.instances[i%len(w.instances)].front, records: w.records}
		clients.Go(func() {
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				w.checkIn(c, fmt.Sprintf("o-%d-%d", i, n))
				time.Sleep(15 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	faulty.mu.Lock()
	w.note("answers of i-1: %d, of which sent twice: %d", faulty.answers, spoils.allSpoiled)
	faulty.mu.Unlock()
	return w.judgeRefused()
}

// checkIn sends a request and, if it is promised that it has not run, sends it once more on a
// new connection after the time that the answer asks for.
func (w *world) checkIn(c *client, order string) {
	s := c.post("/desk/checkin", order, 3*time.Second)
	if s.status != 503 && s.status != 429 {
		return
	}
	seconds, _ := strconv.ParseFloat(s.retryAfter, 64)
	time.Sleep(time.Duration(min(seconds, 1) * float64(time.Second)))
	c.close()
	c.post("/desk/checkin", order, 2*time.Second)
}

func (w *world) judgeRefused() bool {
	w.records.mu.Lock()
	defer w.records.mu.Unlock()
	refused, byStatus := map[string]*sent{}, map[int]int{}
	for _, s := range w.records.attempts {
		byStatus[s.status]++
		switch s.status {
		case 408, 421, 429, 503:
			refused[s.attempt] = s
		}
	}
	broken, runs := 0, map[string]int{}
	for _, a := range w.records.arrivals {
		if !a.ran {
			continue
		}
		runs[a.order]++
		s := refused[a.attempt]
		if s == nil {
			continue
		}
		broken++
		w.note("%s  attempt %s (order %s) reaches %s, which runs it; ended: %v", w.since(a.at), a.attempt, a.order, a.server, a.ended)
		w.note("%s  the client gets %d (Retry-After %s) for that attempt", w.since(s.answeredAt), s.status, s.retryAfter)
	}
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	w.note("attempts of clients by status (0: no complete answer): %v", byStatus)
	w.note("attempts refused although they ran: %d; orders that ran twice since the client believed the refusal: %d", broken, twice)
	return broken > 0
}
