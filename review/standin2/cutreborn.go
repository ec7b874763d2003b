package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"sync"
	"time"
)

// cutReborn lets a tenth of the servers be cut off from all machines while they answer. They
// crash behind the cut and start again at the same address, under new IDs.
func cutReborn(b *bed, trouble bool) error {
	const servers, cutFor = 10, 4 * time.Second
	b.store.write("config", "main", config())
	links := make([]*proxy, servers)
	processes := make([]*exec.Cmd, servers)
	listens := make([]string, servers)
	for i := range servers {
		var err error
		if listens[i], err = freeAddress(); err != nil {
			return err
		}
		if links[i], err = newProxy(listens[i]); err != nil {
			return err
		}
		if processes[i], err = b.startServer(fmt.Sprintf("i-first-%d", i), "desk", listens[i], links[i].address()); err != nil {
			return err
		}
	}
	if err := b.startInstances(3); err != nil {
		return err
	}
	if err := b.waitReady(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	results := make([]answered, 4*servers)
	for i := range results {
		wg.Go(func() {
			path := streamPath
			if i%2 == 1 {
				path = callPath
			}
			results[i] = ask(b, b.instances[i%len(b.instances)].frontend, path+"2f", fmt.Sprintf("%016x", 0xa000+i))
		})
	}
	time.Sleep(8 * pieceTime)
	if trouble {
		b.say("trouble: server i-first-0 is cut off from all machines for %v", cutFor)
		links[0].setCut(true)
		time.Sleep(300 * time.Millisecond)
		b.say("trouble: server i-first-0 crashes behind the cut")
		_ = processes[0].Process.Kill()
		_ = processes[0].Wait()
		time.Sleep(2 * time.Second)
		if _, err := b.startServer("i-again-0", "desk", listens[0], links[0].address()); err != nil {
			return err
		}
		b.say("trouble: it has started again at its address, as i-again-0")
		time.Sleep(cutFor - 2300*time.Millisecond)
		links[0].setCut(false)
		b.say("trouble: the cut has healed")
	}
	wg.Wait()
	return judge(b, results)
}

// judge applies MIXED and ORDER: a success must be the server's whole answer.
func judge(b *bed, results []answered) error {
	whole, short := 0, 0
	for _, r := range results {
		switch {
		case r.status == http.StatusOK && r.complete && r.pieces < pieces:
			short++
			b.say("judge: %s ended as complete after %d of %d pieces", r.id, r.pieces, pieces)
		case r.status == http.StatusOK && r.complete:
			whole++
		}
	}
	b.say("judge: %d requests, %d whole answers, %d answers that ended early and looked complete", len(results), whole, short)
	if short > 0 {
		return errBroken
	}
	if whole == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
