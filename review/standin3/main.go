// Command standin3 plays the cases of the third review that are scripts: it starts instances of the
// gateway with the settings of a small deployment beside stand-ins for the platform's store, servers
// and clients, plays one disruption and judges what the stand-ins saw.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Results of a case, as exit codes.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// bed is what a case runs on.
type bed struct {
	trouble bool
	dir     string // temporary
	store   *store
	began   time.Time

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(b.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(b.record, line)
	fmt.Println(line)
}

var cases = map[string]func(*bed) (int, error){"parts": playParts, "tokens": playTokens, "frozen": playFrozen}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER-OF-THE-RECORD")
		os.Exit(couldntRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer os.RemoveAll(dir)
	b := &bed{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: record}
	b.note("case %s, trouble %v", name, b.trouble)
	if b.store, err = startStore(); err == nil {
		var result int
		if result, err = cases[name](b); err == nil {
			b.note("result: %s", map[int]string{held: "rule held", broken: "rule broken"}[result])
			return result
		}
	}
	b.note("could not run: %v", err)
	return couldntRun
}

// startSmall starts n instances beside the stand-ins of a small deployment: model servers that are
// like model, and plain servers.
func (b *bed) startSmall(n int, model *server) ([]*server, []*machine, error) {
	var servers []*server
	for i := range modelServers {
		s := server{work: model.work, events: model.events, tokens: model.tokens, most: model.most, pause: model.pause}
		s.id, s.service, s.slots, s.models = fmt.Sprintf("i-model%02d", i), "models", 64, []string{"daka510000"}
		servers = append(servers, &s)
	}
	for i := range 3 {
		servers = append(servers, &server{id: fmt.Sprintf("i-desk%02d", i), service: "desk", slots: 6, work: 60 * time.Millisecond})
	}
	for _, s := range servers {
		if err := startServer(s); err != nil {
			return nil, nil, err
		}
		b.store.put("servers", s.id, s.entry())
	}
	b.store.put("config", "main", smallConfig())
	machines, err := newMachines(n, b.store.address, b.dir)
	if err != nil {
		return nil, nil, err
	}
	for _, m := range machines {
		if err := m.start(); err != nil {
			return nil, nil, err
		}
		if err := m.awaitReady(20 * time.Second); err != nil {
			m.kill()
			return nil, nil, err
		}
		b.note("%s is ready, memory %d MB of %d MB", m.name, m.memoryKB()>>10, m.memoryMB)
	}
	return servers, machines, nil
}
