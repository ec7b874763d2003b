// Command standin plays the cases of the review that are scripts: it starts instances of the
// product as processes before stand-ins of the platform's store, of servers and of clients, and
// checks one rule by what these have seen. It exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// world is what all cases have in common.
type world struct {
	dir       string // for settings and logs
	trouble   bool
	store     *store
	storeAddr string
	records   *recorder
	instances []*instance
	servers   []*server
	lines     []string // of the record
}

func (w *world) note(format string, args ...any) {
	w.lines = append(w.lines, fmt.Sprintf(format, args...))
}

var cases = map[string]func(w *world) (broken bool){
	"rejection-answered-twice": twiceRejected,
	"store-from-older-copy":    olderCopy,
	"evicted-uploads":          evictedUploads, "gone-server-after-freeze": goneServerAfterFreeze,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) (code int) {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), records: newRecorder()}
	w.note("case %s, disruption %v", args[0], w.trouble)
	defer func() {
		for _, i := range w.instances {
			i.stop()
		}
		for _, s := range w.servers {
			s.exit()
		}
		killAll()
		if failure := recover(); failure != nil {
			code = 2
			w.note("could not run: %v", failure)
		}
		w.note("exit %d", code)
		if err := os.WriteFile(args[1], []byte(strings.Join(w.lines, "\n")+"\n"), 0o644); err != nil {
			code = 2
		}
		fmt.Println(strings.Join(w.lines[max(0, len(w.lines)-6):], "\n"))
	}()
	go func() {
		<-signals
		killAll()
		os.Exit(2)
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(cannotRun{err})
	}
	w.storeAddr = listener.Addr().String()
	storeServer := &http.Server{Handler: w.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = storeServer.Serve(listener) }()
	if cases[args[0]](w) {
		return 1
	}
	return 0
}

// configure writes a configuration with one service and one route that is not idempotent.
func (w *world) configure(service string, maxAttempts int) {
	w.store.set("config", "main", configuration(1, service, maxAttempts, apiKey))
}

func configuration(version int, service string, maxAttempts int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-desk", "host": host, "path_prefix": "/desk/", "route_kind": "non_idempotent", "timeout_ms": 1500, "slo_ms": 300,
			"priority": 1, "service": service, "max_attempts": maxAttempts, "public": false,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-a", "api_keys": keys, "priority": 1}},
	}
}

// addServer starts a server and lists it. Its entry changes only when more than the sequence
// of its heartbeats does, so it is written once.
func (w *world) addServer(s *server) *server {
	s.records = w.records
	startServer(s)
	w.servers = append(w.servers, s)
	w.store.set("servers", s.id, s.entry(1))
	return s
}

// since formats a time relative to the begin of the case.
func (w *world) since(t time.Time) string {
	return fmt.Sprintf("%7.3f s", t.Sub(w.records.began).Seconds())
}
