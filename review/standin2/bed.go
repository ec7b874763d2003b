package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	gatewayProgram  = "target/eelgrass-gateway" // of deploy/system.toml
	gatewayTemplate = "deploy/gateway.hujson"
	graceS          = 8
)

// bed is a small deployment: a store, servers behind links and entry instances. Its methods
// are called by one goroutine, except for say.
type bed struct {
	dir       string
	store     *store
	storeAt   string
	instances []*instance
	processes []*exec.Cmd

	mu     sync.Mutex
	began  time.Time
	record *os.File
	watch  func(line string) // is told what servers write, nil for nobody
}

// instance is one process of the system.
type instance struct {
	frontend, ready string
	process         *exec.Cmd
}

func newBed() (*bed, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, store: newStore(), storeAt: l.Addr().String(), began: time.Now(), record: record}
	go b.store.expire()
	go func() { _ = http.Serve(l, b.store) }() // ends with the process
	return b, nil
}

// close ends all processes that the bed started.
func (b *bed) close() {
	for _, p := range b.processes {
		_ = p.Process.Kill() // it may have ended
		_ = p.Wait()
	}
	_ = os.RemoveAll(b.dir)
	_ = b.record.Close()
}

// say writes a line to the record.
func (b *bed) say(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a process and passes on what it writes.
func (b *bed) start(cmd *exec.Cmd, output func(line string)) error {
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	b.processes = append(b.processes, cmd)
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			output(lines.Text())
		}
	}()
	return nil
}

// startServer starts a server that listens on an address of its own and is reached at another.
func (b *bed) startServer(id, service, listen, address string, more ...string) (*exec.Cmd, error) {
	args := append([]string{"server", "-id", id, "-service", service, "-listen", listen, "-address", address, "-store", b.storeAt}, more...)
	cmd := exec.Command(os.Args[0], args...)
	return cmd, b.start(cmd, func(line string) {
		b.say("%s", line)
		if b.watch != nil {
			b.watch(line)
		}
	})
}

// handedOut has the addresses that freeAddress has returned.
var handedOut = map[string]bool{}

// freeAddress returns a loopback address whose port is free. It is not the one from which
// connections are opened, so that none of these takes the port.
func freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp", "127.0.1.1:0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		_ = l.Close()
		if !handedOut[address] {
			handedOut[address] = true
			return address, nil
		}
	}
}

// startInstances starts n entry instances, with the settings that the platform makes of the
// template.
func (b *bed) startInstances(n int) error {
	template, err := os.ReadFile(gatewayTemplate)
	if err != nil {
		return err
	}
	var listens []map[string]string
	var seeds []string
	for range n {
		listen := map[string]string{}
		for _, name := range []string{"frontend", "ready", "control_plane"} {
			if listen[name], err = freeAddress(); err != nil {
				return err
			}
		}
		listens = append(listens, listen)
		seeds = append(seeds, listen["control_plane"])
	}
	for i, listen := range listens {
		fields := map[string]any{
			"node_name": fmt.Sprintf("edge-zone-a-%d", i+1), "zone": "zone-a", "zones": map[string]string{"zone-a": "region-a"},
			"listen": listen, "seeds": seeds[:min(len(seeds), 3)], "platform": map[string]any{"address": b.storeAt},
			"limits": map[string]any{"memory_mb": 284, "link_mbps": 1000.0, "cpu_share": 0.4},
			"bounds": map[string]any{
				"quota_window_s": 8, "grace_s": graceS, "retry_budget_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10,
				"lease_ms": 3000, "origin_window_s": 5,
			},
		}
		text := fill(string(template), fields)
		// The template puts the metrics on a fixed port of the machine, of which each
		// instance has one of its own on the platform.
		text = regexp.MustCompile(`(?m)^.*"metrics_listen".*\n`).ReplaceAllString(text, "")
		file := filepath.Join(b.dir, fmt.Sprintf("node-%d.json", i+1))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.Create(strings.TrimSuffix(file, ".json") + ".log")
		if err != nil {
			return err
		}
		cmd := exec.Command(gatewayProgram)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "EELGRASSBAY_SETTINGS=" + file}
		if err := b.start(cmd, func(line string) { fmt.Fprintln(log, line) }); err != nil {
			return err
		}
		b.instances = append(b.instances, &instance{listen["frontend"], listen["ready"], cmd})
	}
	return nil
}

// fill fills in the placeholders of the template that stand for a value. Its sections are for
// bounds that these deployments don't have.
func fill(template string, fields map[string]any) string {
	template = regexp.MustCompile(`\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}`).ReplaceAllString(template, "")
	return regexp.MustCompile(`\{\{[^}]+\}\}`).ReplaceAllStringFunc(template, func(text string) string {
		path, asJSON := strings.CutSuffix(strings.Trim(text, "{}"), "|json")
		var value any = fields
		for _, key := range strings.Split(path, ".") {
			switch in := value.(type) {
			case map[string]any:
				value = in[key]
			case map[string]string:
				value = in[key]
			default:
				value = nil
			}
		}
		if raw, err := json.Marshal(value); err == nil && asJSON {
			return string(raw)
		}
		return fmt.Sprint(value)
	})
}

// waitReady waits until all instances say that they are ready.
func (b *bed) waitReady() error {
	end := time.Now().Add(15 * time.Second)
	for _, in := range b.instances {
		for {
			resp, err := http.Get("http://" + in.ready + "/api/ready")
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("instance at %s is not ready", in.ready)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
