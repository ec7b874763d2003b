// Package proctest runs the real binaries as child processes of a test. It
// builds a command on first use, starts it with a settings file, waits until it
// is ready, and pauses, signals or kills it. Proxy is a TCP proxy that injects
// network faults between processes. Failures end the calling test.
package proctest

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
	pollTimeout  = time.Second
)

// Spec describes the process that Start starts.
type Spec struct {
	Binary   string   // command name, such as eelgrass-entry; empty for the test binary itself
	Settings string   // content of the settings file, passed as --config; empty for none
	Args     []string // additional arguments
	Env      []string // additional variables of the environment, as NAME=VALUE
	ReadyURL string   // URL that returns 200 once the process is ready; empty to skip the check
}

// Process is a child process of one test. It is killed when the test ends.
type Process struct {
	t       testing.TB
	name    string
	cmd     *exec.Cmd
	logPath string        // file that receives stdout and stderr
	exited  chan struct{} // closed once cmd.Wait has returned
}

// Start starts a process and waits until it is ready. The output of the process
// is logged if the test fails.
func Start(t testing.TB, spec Spec) *Process {
	t.Helper()
	dir := t.TempDir()
	p := &Process{t: t, name: spec.Binary, logPath: filepath.Join(dir, "log"), exited: make(chan struct{})}
	args := spec.Args
	if spec.Settings != "" {
		file := filepath.Join(dir, "settings.hujson")
		p.requireNoError(os.WriteFile(file, []byte(spec.Settings), 0o600))
		args = append([]string{"--config", file}, args...)
	}
	log, err := os.Create(p.logPath)
	p.requireNoError(err)
	defer log.Close()
	p.cmd = exec.Command(p.binary(spec), args...)
	p.cmd.Env = append(os.Environ(), spec.Env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// Kill the process when the test process exits, even if no cleanup runs.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.requireNoError(p.start())
	t.Cleanup(p.cleanUp)
	if spec.ReadyURL != "" {
		p.awaitReady(spec.ReadyURL)
	}
	return p
}

// binary returns the path of the binary to start.
func (p *Process) binary(spec Spec) string {
	if spec.Binary != "" {
		return Binary(p.t, spec.Binary)
	}
	path, err := os.Executable()
	p.requireNoError(err)
	return path
}

// start starts the process from a locked OS thread and keeps that thread until
// the process exits: Pdeathsig is sent when the starting thread ends, not when
// the parent process ends.
func (p *Process) start() error {
	started := make(chan error)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := p.cmd.Start()
		started <- err
		if err == nil {
			_ = p.cmd.Wait() // the result is read from ProcessState
			close(p.exited)
		}
	}()
	return <-started
}

func (p *Process) cleanUp() {
	p.Kill()
	if p.t.Failed() {
		p.t.Logf("output of %s, process %d:\n%s", p.name, p.PID(), p.Logs())
	}
}

func (p *Process) awaitReady(url string) {
	p.t.Helper()
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		select {
		case <-p.exited:
			p.t.Fatalf("proctest: %s exited before it was ready: %s", p.name, p.cmd.ProcessState)
		default:
		}
		res, err := client.Get(url)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("proctest: %s not ready within %s at %s", p.name, readyTimeout, url)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Logs returns what the process has written to stdout and stderr so far.
func (p *Process) Logs() string {
	text, err := os.ReadFile(p.logPath)
	p.requireNoError(err)
	return string(text)
}

// Kill sends SIGKILL and waits until the process has exited. It may be called
// more than once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // fails only if the process has exited
	<-p.exited
}

// Pause suspends the process with SIGSTOP until Resume; its connections stay
// open. Sending the signal does not wait for it to take effect, so Pause polls
// until all threads of the process have stopped.
func (p *Process) Pause() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	for range maxPausePolls {
		if p.stopped() {
			return
		}
		time.Sleep(pausePollInterval)
	}
	p.t.Fatalf("proctest: process %d did not stop after SIGSTOP", p.cmd.Process.Pid)
}

// Interval and number of the checks by which Pause waits for the process to stop.
const (
	pausePollInterval = time.Millisecond
	maxPausePolls     = 5000
)

// stopped reports whether all threads of the process are in state T in /proc.
func (p *Process) stopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	for _, thread := range threads {
		stat, readErr := os.ReadFile(thread)
		// The state follows the command name, which is in parentheses.
		_, state, ok := strings.Cut(string(stat), ") ")
		if readErr != nil || !ok || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return err == nil && len(threads) > 0
}

// Resume sends SIGCONT to continue a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Hangup sends SIGHUP.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Terminate sends SIGTERM without waiting for the process to exit.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Stop sends SIGTERM, waits until the process has exited and returns its exit
// code, or -1 if a signal ended it.
func (p *Process) Stop() int {
	p.t.Helper()
	p.Terminate()
	return p.Wait()
}

// Wait waits until the process has exited and returns its exit code, or -1 if a
// signal ended it.
func (p *Process) Wait() int {
	p.t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(stopTimeout):
		p.t.Fatalf("proctest: %s did not exit within %s", p.name, stopTimeout)
		return -1
	}
}

func (p *Process) signal(sig syscall.Signal) {
	p.t.Helper()
	p.requireNoError(p.cmd.Process.Signal(sig))
}

func (p *Process) requireNoError(err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatalf("proctest: %s: %v", p.name, err)
	}
}

// Range of the ports that FreeAddress returns. It lies below the ephemeral range,
// from which the kernel takes ports for outgoing connections and for listeners on
// port 0, so that the kernel does not give a port away before the process that it
// was allocated for listens on it.
const (
	firstPort = 12_000
	lastPort  = 31_999
)

// nextPort starts at a different offset in each test process.
var nextPort atomic.Int64

func init() {
	const portsPerProcess = 97
	nextPort.Store(int64(os.Getpid()) * portsPerProcess)
}

// FreeAddress returns a loopback address, as IP:port, whose port is free. An
// address is returned again only after all ports of the range have been tried.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort+1)
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("proctest: no free port")
	return ""
}
