package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The gateway as the deploy file builds and starts it, in the root of the repository.
const (
	gatewayProgram  = "target/eelgrass-gateway"
	templateFile    = "deploy/gateway.hujson"
	metricsPort     = 9464 // of the template
	settingsVarible = "EELGRASSBAY_SETTINGS"
)

// machine is one process of the gateway on an address of its own, with the settings of a small
// deployment (lsct-fogline) in the template of the deploy file.
type machine struct {
	name, ip                 string
	frontend, ready, control string
	memoryMB                 int
	dir                      string
	cmd                      *exec.Cmd
	exited                   chan struct{}

	peakKB   atomic.Int64 // of the process's own memory
	exceeded atomic.Bool  // the platform killed the process for its memory
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
var section = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)

// lookUp returns the field at a path of names, nil if there is none.
func lookUp(fields any, path string) any {
	for _, name := range strings.Split(path, ".") {
		table, ok := fields.(map[string]any)
		if !ok {
			return nil
		}
		fields = table[name]
	}
	return fields
}

// fill fills in the placeholders of a template. It knows the forms that deploy/gateway.hujson uses.
func fill(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if lookUp(fields, m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := lookUp(fields, m[1])
		if m[2] == "" {
			if v == nil {
				return ""
			}
			return fmt.Sprint(v)
		}
		raw, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		return string(raw)
	})
}

func freePort(ip string) (int, error) {
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer lis.Close()
	return lis.Addr().(*net.TCPAddr).Port, nil
}

// newMachines returns n machines that do not run yet, on loopback addresses at which the port of
// the metrics is free.
func newMachines(n int, storeAddress, dir string) ([]*machine, error) {
	var out []*machine
	for i := 1; len(out) < n; i++ {
		if i > 250 {
			return nil, errors.New("no loopback address with a free port for metrics")
		}
		ip := fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%200, i)
		lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, metricsPort))
		if err != nil {
			continue
		}
		_ = lis.Close()
		m := &machine{name: fmt.Sprintf("edge-erie-bay-%d", len(out)+1), ip: ip, memoryMB: 284, dir: dir}
		for _, address := range []*string{&m.frontend, &m.ready, &m.control} {
			port, err := freePort(ip)
			if err != nil {
				return nil, err
			}
			*address = net.JoinHostPort(ip, strconv.Itoa(port))
		}
		out = append(out, m)
	}
	var seeds []string
	for _, m := range out[:min(len(out), 3)] {
		seeds = append(seeds, m.control)
	}
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return nil, err
	}
	for _, m := range out {
		text := fill(string(template), map[string]any{
			"node_name": m.name, "zone": "erie-bay", "ip": m.ip, "seeds": seeds,
			"listen":   map[string]any{"frontend": m.frontend, "ready": m.ready, "control_plane": m.control},
			"zones":    map[string]any{"erie-bay": "great-lakes"},
			"platform": map[string]any{"address": storeAddress},
			"limits":   map[string]any{"memory_mb": m.memoryMB, "link_mbps": 1000.0, "cpu_share": 0.4},
			"bounds": map[string]any{
				"quota_window_s": 8, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10,
				"lease_ms": 3000, "origin_window_s": 5,
			},
		})
		if err := os.WriteFile(m.settings(), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (m *machine) settings() string { return filepath.Join(m.dir, m.name+".hujson") }

// start starts the process. It is killed if this one ends.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(gatewayProgram)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVarible + "=" + m.settings()}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func() {
		_ = m.cmd.Wait()
		close(m.exited)
	}()
	return nil
}

func (m *machine) signal(s os.Signal) { _ = m.cmd.Process.Signal(s) }

func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// isReady asks as the platform does.
func (m *machine) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.isReady() {
			return nil
		}
		if !m.running() {
			return fmt.Errorf("%s ended before it was ready", m.name)
		}
	}
	return fmt.Errorf("%s not ready within %v", m.name, limit)
}

// limitMemory does what the platform does: a process that exceeds its memory is killed. Only the
// memory that the process has written counts (RssAnon), without its program.
func (m *machine) limitMemory() {
	for m.running() {
		if kb := m.memoryKB(); kb > m.peakKB.Load() {
			m.peakKB.Store(kb)
			if kb > int64(m.memoryMB)<<10 {
				m.exceeded.Store(true)
				m.signal(syscall.SIGKILL)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (m *machine) memoryKB() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb
		}
	}
	return 0
}

// kill ends the process, if it runs, and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}
