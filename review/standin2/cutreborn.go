package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	host       = "review.example"
	streamPath = "/notes/"
	callPath   = "/checkins/"
	key        = "key-of-tenant-a"
)

// config returns a configuration with a route for streams that may not be resumed and one
// for calls that are not idempotent.
func config() map[string]any {
	route := func(name, path, kind string, timeoutMS, sloMS int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": path, "route_kind": kind, "timeout_ms": timeoutMS, "slo_ms": sloMS, "priority": 0,
			"service": "desk", "max_attempts": 1, "public": false, "sticky": false, "resumable": false, "gap_target_ms": 300,
		}
	}
	return map[string]any{
		"version":  1,
		"routes":   []any{route("notes", streamPath, "streaming", 20000, 4000), route("checkins", callPath, "non_idempotent", 15000, 3000)},
		"services": []any{map[string]any{"name": "desk", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-a", "api_keys": []string{key}, "priority": 1, "unit": "token_stream", "plain_tokens": 200}},
	}
}

func runCase(name string) error {
	if os.Getenv("RECORD") == "" {
		return fmt.Errorf("RECORD names no file")
	}
	b, err := newBed()
	if err != nil {
		return err
	}
	defer b.close()
	trouble := os.Getenv("TROUBLE") != "0"
	switch name {
	case "cut-reborn":
		return cutReborn(b, trouble)
	case "late-order":
		return lateOrder(b, trouble)
	}
	return fmt.Errorf("no case %q", name)
}

// answered is how a request ended for its client.
type answered struct {
	id       string
	status   int
	pieces   int
	complete bool // the answer was framed, and whole by its framing
}

// ask sends a request and reads its answer.
func ask(b *bed, address, path, id string) answered {
	out := answered{id: id}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		b.say("client: %s: %v", id, err)
		return out
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 15000\r\nX-Key: %s\r\nContent-Length: 2\r\n\r\n{}", path, host, id, key)
	b.say("client: %s: POST %s sent to %s", id, path, address)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		b.say("client: %s: no answer: %v", id, err)
		return out
	}
	body, err := io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	out.status, out.pieces, out.complete = resp.StatusCode, strings.Count(string(body), "\n\n"), err == nil && framed
	b.say("client: %s: status %d, signature %q, %d pieces, the last %q, complete by its framing: %v", id, out.status,
		resp.Header.Get("X-Server-Signature"), out.pieces, lastLine(string(body)), out.complete)
	return out
}

func lastLine(body string) string {
	lines := strings.Split(strings.TrimSpace(body), "\n")
	return lines[len(lines)-1]
}

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
