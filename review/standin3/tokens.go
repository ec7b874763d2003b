package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	tokensPerSecond = 150
	// learnFor is the time before the planned restarts in which the instances serve as usual.
	learnFor = 12 * time.Second
	// plannedFor is how long planned work lasts: from a SIGTERM until 1 s after grace_s (RULES.md, LOST).
	plannedFor = 9 * time.Second
	readyLimit = 10 * time.Second
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 300 * time.Millisecond
	streamTokens = 290
	// eventTokens is the greatest number of tokens of an event.
	eventTokens = 5
	tokenPause  = 20 * time.Millisecond
	// readyMisses is the number of questions in a row without a 200 that take a machine out of rotation.
	readyMisses = 2
)

// rotation is the platform's choice of the machines that get new connections.
type rotation struct {
	machines []*machine
	mu       sync.Mutex
	out      map[*machine]bool
}

// run asks each machine once a second whether it is ready.
func (r *rotation) run(over func() bool) {
	misses := map[*machine]int{}
	for ; !over(); time.Sleep(time.Second) {
		for _, m := range r.machines {
			if misses[m]++; m.isReady() {
				misses[m] = 0
			}
			r.mu.Lock()
			r.out[m] = misses[m] >= readyMisses
			r.mu.Unlock()
		}
	}
}

func (r *rotation) pick() *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*machine
	for _, m := range r.machines {
		if !r.out[m] {
			in = append(in, m)
		}
	}
	if len(in) == 0 {
		in = r.machines
	}
	return in[rand.IntN(len(in))]
}

// playTokens has sound model servers whose events hold up to eventTokens tokens, as many as were ready, and
// whose IDs are the number of tokens so far. The instances are stopped and started again in turn. Judged are the
// streams that callers get around that.
func playTokens(b *bed) (int, error) {
	servers, machines, err := b.startSmall(2, &server{work: 50 * time.Millisecond, tokens: streamTokens, most: eventTokens, pause: tokenPause})
	if err != nil {
		return 0, err
	}
	defer func() {
		for _, m := range machines {
			m.kill()
		}
	}()
	end := time.Now().Add(learnFor + time.Duration(len(machines))*plannedFor)
	over := func() bool { return time.Now().After(end) }
	r := &rotation{machines: machines, out: map[*machine]bool{}}
	go r.run(over)
	clients := map[*machine]*client{}
	for _, m := range machines {
		clients[m] = newClient(500)
	}
	var before, after tally
	var mu sync.Mutex
	cut, stoppedAt := 0, map[*machine]time.Time{}
	var wait sync.WaitGroup
	every(&wait, over, time.Second/tokensPerSecond, func(*client) {
		m, sentAt := r.pick(), time.Now()
		o := clients[m].do(m.frontend, request{method: "POST", path: "/wuba840/2f", key: fmt.Sprintf("key%d", rand.IntN(partsTenants)), body: "prompt", deadline: 15 * time.Second,
			headers: map[string]string{"X-Model": "daka510000", "X-Token-Usage": fmt.Sprintf("1460,%d", streamTokens), "X-Prefix-Hash": shortList(1460)}})
		mu.Lock()
		defer mu.Unlock()
		at, stopped := stoppedAt[m]
		if !stopped || sentAt.Before(at) {
			before.add(o)
			return
		}
		after.add(o)
		if o.status == 0 || o.whole || o.timedOut || time.Since(at) > plannedFor {
			return
		}
		cut++
		b.note("stream %s, sent to %s %.2f s after its SIGTERM, is cut after %.2f s, after event %s", o.id, m.name, sentAt.Sub(at).Seconds(), o.seconds, lastEventID(o.body))
		for _, s := range servers {
			for _, run := range s.runsOf(o.id) {
				b.note("    %s ran it: %s", s.id, run)
			}
		}
	})
	time.Sleep(learnFor)
	for _, m := range machines {
		began := time.Now()
		mu.Lock()
		stoppedAt[m] = began
		mu.Unlock()
		if b.trouble {
			if err := b.restart(m); err != nil {
				return 0, err
			}
		}
		time.Sleep(time.Until(began.Add(plannedFor)))
	}
	wait.Wait()
	b.note("streams that began before planned work: %s", &before)
	b.note("streams that began since: %s", &after)
	b.note("sound streams that an instance cut within %v of its SIGTERM: %d", plannedFor, cut)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}

// restart stops an instance as planned and starts it again once it has ended.
func (b *bed) restart(m *machine) error {
	b.note("%s gets SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	<-m.exited
	b.note("%s has ended", m.name)
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		return err
	}
	if err := m.awaitReady(readyLimit); err != nil {
		return err
	}
	b.note("%s is ready again", m.name)
	return nil
}
