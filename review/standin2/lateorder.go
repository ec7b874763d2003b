package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// orderLink is the way of all calls to one engine. One order on it gets no answer and arrives
// late.
type orderLink struct {
	listener net.Listener
	target   string
	proxy    *httputil.ReverseProxy

	mu     sync.Mutex
	delay  string // model whose load is to be late, empty for none
	late   *http.Request
	body   []byte
	sentAt time.Time
	taken  chan struct{} // closed when the order is held
}

func newOrderLink(target string) (*orderLink, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	to := &url.URL{Scheme: "http", Host: target}
	o := &orderLink{listener: l, target: target, taken: make(chan struct{})}
	o.proxy = &httputil.ReverseProxy{
		Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(to); r.Out.Host = r.In.Host },
		FlushInterval: -1, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }, // closes the connection
	}
	go func() { _ = http.Serve(l, o) }() // ends with the process
	return o, nil
}

// ServeHTTP passes a call on.
func (o *orderLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/order" {
		body, _ := io.ReadAll(r.Body)
		if o.take(r, body) {
			<-r.Context().Done() // no answer
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	o.proxy.ServeHTTP(w, r)
}

// take holds an order if it is the one to be late.
func (o *orderLink) take(r *http.Request, body []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	var in order
	if json.Unmarshal(body, &in) != nil || o.late != nil || o.delay == "" || in.Operation != "model_load" || in.Model != o.delay || in.Adapter != "" {
		return false
	}
	o.late, o.body, o.sentAt = r.Clone(r.Context()), body, time.Now()
	close(o.taken)
	return true
}

// deliver lets the order arrive, as it was sent, and returns its answer.
func (o *orderLink) deliver() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, _ := http.NewRequest(http.MethodPost, "http://"+o.target+"/api/order", bytes.NewReader(o.body))
	r.Header = o.late.Header.Clone()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	_ = resp.Body.Close()
	return resp.Status
}

// engineConfig returns a configuration with a service that has two models, of which a server
// holds one.
func engineConfig() map[string]any {
	model := func(name string, adapters int) map[string]any {
		return map[string]any{
			"name": name, "weights_mb": modelMB, "load_time_s": storeLoadTime.Seconds(), "adapters": adapters, "adapter_size_mb": adapterMB,
			"warmup_s": 0.47, "disk_s": diskLoadTime.Seconds(),
		}
	}
	c := config()
	c["routes"] = []any{map[string]any{
		"name": "notes", "host": host, "path_prefix": streamPath, "route_kind": "streaming", "timeout_ms": 3000, "slo_ms": 400, "priority": 0,
		"service": "models", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 300,
	}}
	c["services"] = []any{map[string]any{
		"name": "models", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": serverSlots, "kv_capacity": 149759, "stride": 5, "cap": 12, "weights_mb": engineMemoryMB, "adapter_slots": adapterSlots,
			"loads_per_s": 2.1, "host_mb": 0, "disk_mb": 440000.0, "models": []any{model("first", 1), model("second", 0)},
		},
	}}
	return c
}

// demand sends requests for one model, until it is told of another one.
type demand struct {
	bed    *bed
	model  atomic.Value // string
	served [2]atomic.Int64
	sent   atomic.Int64
}

func (d *demand) run(perSecond int) {
	for n := 0; ; n++ {
		model := d.model.Load().(string)
		go d.ask(model, fmt.Sprintf("%016x", 0xb000+n), d.bed.instances[n%len(d.bed.instances)].frontend)
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

func (d *demand) ask(model, id, address string) {
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+streamPath+"2f", strings.NewReader("{}"))
	r.Host = host
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Deadline-Ms": "3000", "X-Key": key, "X-Model": model, "X-Token-Usage": "600,10", "X-Prefix-Hash": "5c1e07a2:600",
	} {
		r.Header.Set(name, value)
	}
	d.sent.Add(1)
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
		n := 0
		if model == "second" {
			n = 1
		}
		d.served[n].Add(1)
	}
}

// lateOrder lets the order to load a model get no answer. The server crashes and starts again
// under its ID, and the order arrives there, some seconds late.
func lateOrder(b *bed, trouble bool) error {
	const lateFor, downFor = 9 * time.Second, time.Second
	b.store.write("config", "main", engineConfig())
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	link, err := newOrderLink(listen)
	if err != nil {
		return err
	}
	overfull := make(chan struct{}, 1)
	b.watch = func(line string) {
		if strings.Contains(line, overfullText) {
			overfull <- struct{}{}
		}
	}
	start := func(more ...string) (*exec.Cmd, error) {
		return b.startServer("i-engine", "models", listen, link.listener.Addr().String(), append([]string{"-engine"}, more...)...)
	}
	engine, err := start("-model", "first")
	if err != nil {
		return err
	}
	if err := b.startInstances(3); err != nil {
		return err
	}
	if err := b.waitReady(); err != nil {
		return err
	}
	d := &demand{bed: b}
	d.model.Store("first")
	go d.run(20)
	time.Sleep(6 * time.Second) // the instances choose a leader, which loads the adapter
	if trouble {
		link.mu.Lock()
		link.delay = "second"
		link.mu.Unlock()
	}
	b.say("clients: the demand moves from the first model to the second")
	d.model.Store("second")
	if trouble {
		select {
		case <-link.taken:
		case <-time.After(40 * time.Second):
			return fmt.Errorf("no order to load the second model")
		}
		b.say("trouble: the order %s gets no answer; X-Expect-Instance %s", link.body, link.late.Header.Get("X-Expect-Instance"))
		time.Sleep(700 * time.Millisecond)
		b.say("trouble: the server crashes")
		_ = engine.Process.Kill()
		_ = engine.Wait()
	} else {
		time.Sleep(10 * time.Second)
	}
	b.say("clients: the demand moves back to the first model")
	d.model.Store("first")
	if trouble {
		time.Sleep(downFor)
		if _, err := start("-disk", "first"); err != nil {
			return err
		}
		b.say("trouble: the server has started again under its ID, empty")
		time.Sleep(time.Until(link.sentAt.Add(lateFor)))
		b.say("trouble: the order arrives, %v late", time.Since(link.sentAt).Round(time.Millisecond))
		b.say("trouble: its answer: %s", link.deliver())
	} else {
		time.Sleep(20 * time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	b.say("judge: %d requests sent, %d for the first model and %d for the second served", d.sent.Load(), d.served[0].Load(), d.served[1].Load())
	select {
	case <-overfull:
		b.say("judge: a server was ordered to load more than it holds")
		return errBroken
	default:
	}
	if d.served[0].Load() == 0 || !trouble && d.served[1].Load() == 0 {
		return fmt.Errorf("no request for one of the models was served")
	}
	return nil
}
