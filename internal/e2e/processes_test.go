package e2e

import (
	"bufio"
	"errors"
	"fmt"
	"github.com/eelgrassbay/eelgrassbay/internal/proctest"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startEngine starts a stand-in process of one engine with model m loaded and
// returns it with the engine's base URL.
func startEngine(t *testing.T) (*proctest.Process, string) {
	t.Helper()
	address := proctest.FreeAddress(t)
	p := proctest.Start(t, proctest.Spec{
		Binary: "eelgrass-standin",
		Settings: fmt.Sprintf(`{
			// one engine
			"engines": [{"name": "e", "address": %q, "memory_mb": 100, "resident": [{"model": "m", "memory_mb": 10}]}],
		}`, address),
		ReadyURL: "http://" + address + "/engine/report",
	})
	return p, "http://" + address
}

// startStream sends a streamed completion request and reads the first line of
// the response.
func startStream(t *testing.T, url string, maxTokens int) (*http.Response, *bufio.Reader) {
	t.Helper()
	body := fmt.Sprintf(`{"model": "m", "prompt": "a b", "max_tokens": %d, "stream": true}`, maxTokens)
	res, err := http.Post(url+"/v1/completions", "application/json", strings.NewReader(body))
	must.NoError(t, err)
	t.Cleanup(func() { _ = res.Body.Close() })
	r := bufio.NewReader(res.Body)
	_, err = r.ReadString('\n')
	must.NoError(t, err)
	return res, r
}

func TestTerminateLetsAStreamEnd(t *testing.T) {
	const tokens = 40
	p, url := startEngine(t)
	_, r := startStream(t, url, tokens)
	p.Terminate()
	rest, err := io.ReadAll(r)
	must.NoError(t, err)
	must.StrContains(t, string(rest), "[DONE]")
	must.Eq(t, tokens, strings.Count(string(rest), "data: {")) // startStream read one token event, and one event more has the finish reason
	must.Eq(t, 0, p.Wait())
	must.StrContains(t, p.Logs(), "stopped")
}

func TestKillLeavesNothingBehind(t *testing.T) {
	p, url := startEngine(t)
	_, r := startStream(t, url, 10_000)
	p.Kill()
	_, err := io.ReadAll(r)
	must.Error(t, err)
	must.Eq(t, -1, p.Wait())
	must.ErrorIs(t, syscall.Kill(p.PID(), 0), syscall.ESRCH)
	l, err := net.Listen("tcp", strings.TrimPrefix(url, "http://"))
	must.NoError(t, err)
	must.NoError(t, l.Close())
}

func TestPauseAndFaults(t *testing.T) {
	p, url := startEngine(t)
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{}}
	get := func() error {
		res, err := client.Get(url + "/engine/report")
		if err != nil {
			return err
		}
		defer res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return errors.New(res.Status)
		}
		return nil
	}
	p.Pause()
	err := get()
	must.Error(t, err)
	must.True(t, os.IsTimeout(err))
	p.Resume()
	client.Timeout = time.Minute
	must.NoError(t, get())
	SetFaults(t, url, `{"outage": true}`)
	must.ErrorContains(t, get(), "503")
	must.Eq(t, 0, p.Stop())
}
