package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB        = 284                       // limits.memory_mb of a small deployment
	gatewayBinary   = "target/eelgrass-gateway" // made by the build line of deploy/system.toml
	settingsFile    = "deploy/gateway.hujson"
	readyWithin     = 5 * time.Second
	startTries      = 3
	stopWithin      = 12 * time.Second
	settingsEnvName = "EELGRASSBAY_SETTINGS"
)

// bounds are those of a small deployment.
var bounds = map[string]any{
	"quota_window_s": 8, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 52, "retry_window_s": 10, "lease_ms": 3000, "origin_window_s": 5,
}

// instance is one process of the product.
type instance struct {
	name, front, ready, control, store string
	settings                           string
	cmd                                *exec.Cmd
	log                                *os.File
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(cannotRun{err})
	}
	defer l.Close()
	return l.Addr().String()
}

// cannotRun ends a case that could not run.
type cannotRun struct{ err error }

func (c cannotRun) Error() string { return c.err.Error() }

// startInstances starts instances in one zone, one for each address of the store. A port that
// was free may be taken by another process before its instance listens, so it tries several times.
func startInstances(dir string, storeAddresses ...string) []*instance {
	for range startTries - 1 {
		list, err := tryStartInstances(dir, storeAddresses)
		if err == nil {
			return list
		}
		for _, i := range list {
			i.stop()
		}
	}
	list, err := tryStartInstances(dir, storeAddresses)
	if err != nil {
		for _, i := range list {
			i.stop()
		}
		panic(cannotRun{err})
	}
	return list
}

func tryStartInstances(dir string, storeAddresses []string) ([]*instance, error) {
	var list []*instance
	var seeds []string
	for i, store := range storeAddresses {
		inst := &instance{name: fmt.Sprintf("edge-a-%d", i+1), front: freeAddress(), ready: freeAddress(), control: freeAddress(), store: store}
		list = append(list, inst)
		if len(seeds) < 3 {
			seeds = append(seeds, inst.control)
		}
	}
	for _, inst := range list {
		fields := map[string]any{
			"node_name": inst.name, "zone": "zone-a", "ip": "127.0.0.1", "seeds": seeds, "bounds": bounds,
			"listen":   map[string]any{"frontend": inst.front, "ready": inst.ready, "control_plane": inst.control},
			"platform": map[string]any{"address": inst.store},
			"zones":    map[string]any{"zone-a": "region-a"},
			"limits":   map[string]any{"memory_mb": memoryMB, "link_mbps": 1000.0, "cpu_share": 0.4},
		}
		inst.settings = filepath.Join(dir, inst.name+".settings")
		text := render(fields)
		// Several instances share the address, so each needs a metrics port of its own.
		text = strings.Replace(text, "127.0.0.1:9464", freeAddress(), 1)
		if err := os.WriteFile(inst.settings, []byte(text), 0o600); err != nil {
			return list, err
		}
		if err := inst.start(dir); err != nil {
			return list, err
		}
	}
	for _, inst := range list {
		if err := inst.awaitReady(); err != nil {
			return list, err
		}
	}
	return list, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}.*?\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
)

// render fills in the template of the settings as the platform does, as far as the template
// needs it. The sections are for bounds that a small deployment does not have.
func render(fields map[string]any) string {
	raw, err := os.ReadFile(settingsFile)
	if err != nil {
		panic(cannotRun{err})
	}
	text := section.ReplaceAllString(string(raw), "")
	return placeholder.ReplaceAllStringFunc(text, func(m string) string {
		parts := placeholder.FindStringSubmatch(m)
		var value any = fields
		for _, key := range strings.Split(parts[1], ".") {
			table, ok := value.(map[string]any)
			if !ok {
				panic(cannotRun{fmt.Errorf("template: %s", m)})
			}
			value = table[key]
		}
		if text, ok := value.(string); ok && parts[2] == "" {
			return text
		}
		encoded, err := json.Marshal(value)
		if err != nil || value == nil {
			panic(cannotRun{fmt.Errorf("template: %s", m)})
		}
		return string(encoded)
	})
}

func (i *instance) start(dir string) error {
	log, err := os.Create(filepath.Join(dir, i.name+".log"))
	if err != nil {
		return err
	}
	i.log = log
	i.cmd = exec.Command(gatewayBinary)
	i.cmd.Env = append(os.Environ(), settingsEnvName+"="+i.settings)
	i.cmd.Stdout, i.cmd.Stderr = log, log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	started.mu.Lock()
	defer started.mu.Unlock()
	started.list = append(started.list, i)
	return nil
}

// started are all processes of this run, also those of a start that failed.
var started struct {
	mu   sync.Mutex
	list []*instance
}

// killAll ends the processes of this run at once.
func killAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, i := range started.list {
		_ = i.cmd.Process.Kill() // fails for one that has ended
	}
}

func (i *instance) awaitReady() error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", i.name)
}

func (i *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends the process as the platform does: SIGTERM, then SIGKILL after the grace time.
func (i *instance) stop() {
	if i.cmd == nil || i.cmd.Process == nil {
		return
	}
	_ = i.cmd.Process.Signal(syscall.SIGCONT) // one that is stopped
	_ = i.cmd.Process.Signal(syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		_ = i.cmd.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(stopWithin):
		_ = i.cmd.Process.Kill()
		<-done
	}
	_ = i.log.Close()
}

// memory returns the resident memory of the process in MB, and whether it has ended.
func (i *instance) memory() (mb int, ended bool) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil || bytes.Contains(raw, []byte("State:\tZ")) {
		return 0, true
	}
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			mb = kb >> 10
		}
	}
	return mb, false
}
