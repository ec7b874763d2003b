package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
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
