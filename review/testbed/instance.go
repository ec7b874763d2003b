package testbed

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
	"strings"
	"syscall"
	"time"
)

// The build and the template of the deploy file.
const (
	program  = "target/eelgrass-gateway"
	template = "deploy/gateway.hujson"
)

// MemoryMB is the memory of a machine of a small deployment.
const MemoryMB = 284

// Instance is an entry instance that runs as a process.
type Instance struct {
	Name   string
	Listen string // for callers
	ready  string
	file   string
	log    string
	cmd    *exec.Cmd
	done   chan struct{} // closed when the process has ended
}

// Addresses returns n free loopback addresses.
func Addresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// NewInstance writes the settings of an instance into dir, as the platform makes them from the
// template. peer is its address for other instances, seeds those of all.
func NewInstance(dir, name, zone string, zones []string, store, peer string, seeds []string) (*Instance, error) {
	free, err := Addresses(2)
	if err != nil {
		return nil, err
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region"
	}
	fields := map[string]any{
		"node_name": name, "zone": zone, "ip": "127.0.0.1", "zones": regions, "seeds": seeds,
		"listen.frontend": free[0], "listen.ready": free[1], "listen.control_plane": peer, "platform.address": store,
		"bounds.quota_window_s": 8, "bounds.grace_s": 8, "bounds.retry_budget_ratio": 0.2, "bounds.retry_slack": 58, "bounds.retry_window_s": 10,
		"bounds.lease_ms": 3000, "bounds.origin_window_s": 5, "limits.memory_mb": MemoryMB, "limits.link_mbps": 1000, "limits.cpu_share": 0.4,
	}
	raw, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	text, err := fill(string(raw), fields)
	if err != nil {
		return nil, err
	}
	// The port of the metrics is the same on all machines, which have addresses of their own.
	metrics, err := Addresses(1)
	if err != nil {
		return nil, err
	}
	text = strings.ReplaceAll(text, "127.0.0.1:9464", metrics[0])
	i := &Instance{Name: name, Listen: free[0], ready: free[1], file: filepath.Join(dir, name+".hujson"), log: filepath.Join(dir, name+".log")}
	return i, os.WriteFile(i.file, []byte(text), 0o600)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}.*?\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
)

// fill fills in the placeholders of a template. Its sections are of fields that a small deployment
// does not have.
func fill(text string, fields map[string]any) (string, error) {
	var missing error
	text = section.ReplaceAllString(text, "")
	text = placeholder.ReplaceAllStringFunc(text, func(match string) string {
		part := placeholder.FindStringSubmatch(match)
		value, ok := fields[part[1]]
		if !ok {
			missing = errors.Join(missing, fmt.Errorf("testbed: no value for %s", part[1]))
		}
		if part[2] == "" {
			return fmt.Sprint(value)
		}
		raw, err := json.Marshal(value)
		missing = errors.Join(missing, err)
		return string(raw)
	})
	return text, missing
}

// Start starts the process with the command of the deploy file.
func (i *Instance) Start() error {
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "EELGRASSBAY_SETTINGS="+i.file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	i.cmd, i.done = cmd, done
	go func() {
		_ = cmd.Wait() // how it ended does not matter
		close(done)
	}()
	return nil
}

// PID returns the ID of the process.
func (i *Instance) PID() int { return i.cmd.Process.Pid }

// Signal sends a signal to the process.
func (i *Instance) Signal(s syscall.Signal) error { return i.cmd.Process.Signal(s) }

// Ended is closed when the process has ended.
func (i *Instance) Ended() <-chan struct{} { return i.done }

// Kill ends the process, if it runs, and waits for its end.
func (i *Instance) Kill() {
	if i.cmd == nil {
		return
	}
	_ = i.Signal(syscall.SIGKILL) // it may have ended
	<-i.done
}

// WaitReady waits until the instance says that it is ready, and reports whether it did in time and
// before its process ended.
func (i *Instance) WaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-i.done:
			return false
		default:
		}
		resp, err := client.Get("http://" + i.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// ResidentMB returns the resident memory of the process, 0 if it has ended.
func (i *Instance) ResidentMB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.PID()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}
