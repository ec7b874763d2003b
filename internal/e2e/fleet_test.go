package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"github.com/eelgrassbay/eelgrassbay/internal/proctest"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/standin"
	"github.com/shoenig/test/must"
)

func TestMain(m *testing.M) { os.Exit(proctest.Main(m)) }

// Timeouts and intervals of the tests.
const (
	// promptTimeout is the timeout where a guarantee says "within seconds".
	promptTimeout = 10 * time.Second
	startTimeout  = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// Names that every fleet uses.
const (
	serviceName = "lab"
	orgName     = "harbour"
	modelName   = "notes"
)

var zoneNames = []string{"north", "south"}

const instancesPerZone = 2

// fleetOptions are the options of startFleet.
type fleetOptions struct {
	resident []string // models that every engine has loaded at its start
	decodeMS float64  // decode time of one token, in milliseconds
	workMS   float64  // processing time of one call to a plain service, in milliseconds
}

// defaultFleet returns options with the model preloaded on every engine.
func defaultFleet() fleetOptions {
	return fleetOptions{resident: []string{modelName}, decodeMS: 5, workMS: 1}
}

// fleet is a platform stand-in and two zones, each with entry instances, one
// engine and one plain service. The instances of a zone connect to the platform
// through the proxy of that zone.
type fleet struct {
	t            *testing.T
	processOwner *testing.T // the processes are killed when this test ends
	opts         fleetOptions
	platformURL  string // base URL of the platform stand-in
	store        *objectstore.Client
	proxies      map[string]*proctest.Proxy
	upstreams    map[string]*zoneUpstreams
	entries      []*entry
	key          string // API key of the organisation, accepted by every instance
}

// zoneUpstreams are the stand-ins of one zone, which run in one process.
type zoneUpstreams struct {
	engineURL, plainURL string // base URLs
	proc                *proctest.Process
}

// entry is one entry instance.
type entry struct {
	name, zone           string
	address, peerAddress string // IP:port
	proc                 *proctest.Process
}

func (e *entry) url() string { return "http://" + e.address }

// startFleet starts the processes, applies the document, issues a key and waits
// until every instance serves requests.
func startFleet(t *testing.T, opts fleetOptions) *fleet {
	t.Helper()
	f := &fleet{t: t, processOwner: t, opts: opts, proxies: map[string]*proctest.Proxy{}, upstreams: map[string]*zoneUpstreams{}}
	f.startPlatform()
	for _, zone := range zoneNames {
		f.proxies[zone] = proctest.NewProxy(t, f.platformURL)
		f.startUpstreams(zone)
	}
	f.applyDocument(f.document())
	for _, zone := range zoneNames {
		for i := range instancesPerZone {
			f.entries = append(f.entries, f.newEntry(fmt.Sprintf("%s-%d", zone, i+1), zone))
		}
	}
	for _, e := range f.entries {
		f.startEntry(e)
	}
	for _, e := range f.entries {
		f.awaitReady(e)
	}
	f.key = f.issueKey()
	f.awaitServing(promptTimeout, f.entries...)
	return f
}

// runSubtest runs a subtest on the fleet in the state that the previous subtests
// left.
func (f *fleet) runSubtest(name string, test func(*testing.T, *fleet)) {
	f.t.Run(name, func(t *testing.T) {
		g := *f
		g.t = t
		test(t, &g)
	})
}

func (f *fleet) startPlatform() {
	f.t.Helper()
	const watchWaitMS = 2000
	address := proctest.FreeAddress(f.t)
	f.platformURL = "http://" + address
	f.startStandin(standin.Config{ObjectAPI: &standin.ObjectAPI{Address: address, WatchWaitMS: watchWaitMS}}, f.platformURL+"/instances")
	f.store = objectstore.NewClient(objectstore.ClientOptions{BaseURL: f.platformURL})
	f.t.Cleanup(f.store.Close)
}

const engineMemoryMB = 10_000

func (f *fleet) startUpstreams(zone string) {
	f.t.Helper()
	engine, plain := proctest.FreeAddress(f.t), proctest.FreeAddress(f.t)
	c := standin.Config{
		InstanceList:  f.platformURL,
		StopTimeoutMS: startTimeout.Milliseconds(),
		Engines: []standin.Engine{{
			Name: "engine-" + zone, Zone: zone, Address: engine, MemoryMB: engineMemoryMB, Fencing: true,
			Timing: &standin.Timing{DecodeMS: f.opts.decodeMS, DecodePerRequestMS: 0.01},
		}},
		PlainServices: []standin.PlainService{{Name: "plain-" + zone, Zone: zone, Address: plain, WorkMS: f.opts.workMS}},
	}
	for _, model := range f.opts.resident {
		c.Engines[0].Resident = append(c.Engines[0].Resident, standin.ResidentModel{Model: model, Version: "1", MemoryMB: 100})
	}
	u := &zoneUpstreams{engineURL: "http://" + engine, plainURL: "http://" + plain}
	u.proc = f.startStandin(c, u.plainURL+"/healthz")
	f.upstreams[zone] = u
}

func (f *fleet) startStandin(c standin.Config, ready string) *proctest.Process {
	f.t.Helper()
	text, err := json.Marshal(c)
	must.NoError(f.t, err)
	return proctest.Start(f.t, proctest.Spec{Binary: "eelgrass-standin", Settings: string(text), ReadyURL: ready})
}

// newEntry returns an entry instance with free addresses, without starting it.
func (f *fleet) newEntry(name, zone string) *entry {
	f.t.Helper()
	return &entry{name: name, zone: zone, address: proctest.FreeAddress(f.t), peerAddress: proctest.FreeAddress(f.t)}
}

// startEntry starts or restarts an entry instance without waiting until it is
// ready.
func (f *fleet) startEntry(e *entry) {
	f.t.Helper()
	var peers []string
	for _, p := range f.entries {
		if p != e {
			peers = append(peers, fmt.Sprintf("%q", p.peerAddress))
		}
	}
	e.proc = proctest.Start(f.processOwner, proctest.Spec{Binary: "eelgrass-entry", Settings: fmt.Sprintf(`{
		"name": %q, "zone": %q, "listen": %q, "peer_listen": %q, "peers": [%s],
		"platform": {"url": %q, "timeout": "1s", "watch_timeout": "4s"},
		"stop": {"lame_duck": "2s", "drain": "20s"},
	}`, e.name, e.zone, e.address, e.peerAddress, strings.Join(peers, ", "), f.proxies[e.zone].URL())})
}

func (f *fleet) awaitReady(e *entry) {
	f.t.Helper()
	c := newCaller(f.t, "")
	f.eventually(startTimeout, e.name+" is ready", func() bool {
		return c.get(e.url()+"/readyz").status == 200
	})
}

// entry returns the instance with a name.
func (f *fleet) entry(name string) *entry {
	for _, e := range f.entries {
		if e.name == name {
			return e
		}
	}
	f.t.Fatalf("no instance %s", name)
	return nil
}

// inZone returns the instances of a zone.
func (f *fleet) inZone(zone string) (list []*entry) {
	for _, e := range f.entries {
		if e.zone == zone {
			list = append(list, e)
		}
	}
	return list
}

// document returns the initial service document. Its deadlines are long, so that
// no request is refused early on a busy machine.
func (f *fleet) document() *config.Service {
	doc := &config.Service{
		Service: serviceName,
		Models:  []config.Model{{Name: modelName, MemoryMB: 100, MinReplicas: 2}},
		Organisations: []config.Organisation{
			{Name: orgName, RateTokensPerS: 1_000_000, BurstTokens: 10_000_000},
		},
		Routes: []config.Route{
			{Path: "/lookup/", Methods: []string{"GET"}, Idempotent: true},
			{Path: "/checkin/", Methods: []string{"POST"}},
		},
		Deadlines: config.Deadlines{FirstTokenMS: 10_000, BetweenMS: 1000, RequestMS: 60_000, ProgressMS: 1000},
	}
	for _, zone := range zoneNames {
		u := f.upstreams[zone]
		doc.Upstreams = append(doc.Upstreams,
			config.Upstream{
				Name: "engine-" + zone, Zone: zone, Kind: config.UpstreamEngine, MemoryMB: engineMemoryMB,
				Address: strings.TrimPrefix(u.engineURL, "http://"), SupportsFencing: true, MaxRunning: 64,
			},
			config.Upstream{Name: "plain-" + zone, Zone: zone, Kind: config.UpstreamPlain, Address: strings.TrimPrefix(u.plainURL, "http://")},
		)
	}
	return doc
}

// applyDocument stores a document with eelgrassctl.
func (f *fleet) applyDocument(doc *config.Service) {
	f.t.Helper()
	text, err := json.Marshal(doc)
	must.NoError(f.t, err)
	file := filepath.Join(f.t.TempDir(), "service.hujson")
	must.NoError(f.t, os.WriteFile(file, text, 0o600))
	f.ctl("apply", file)
}

// ctl runs eelgrassctl and returns its standard output.
func (f *fleet) ctl(args ...string) string {
	f.t.Helper()
	var stderr strings.Builder
	cmd := exec.Command(proctest.Binary(f.t, "eelgrassctl"), append([]string{"--platform", f.platformURL}, args...)...)
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		f.t.Fatalf("eelgrassctl %v: %v: %s", args, err, stderr.String())
	}
	return strings.TrimSpace(string(out))
}

// edit applies change to the stored document and returns the new version.
func (f *fleet) edit(change func(*config.Service)) uint64 {
	f.t.Helper()
	obj, err := f.store.Get(context.Background(), objectstore.KindService, serviceName)
	must.NoError(f.t, err)
	var doc config.Service
	must.NoError(f.t, json.Unmarshal(obj.Value, &doc))
	change(&doc)
	obj.Value, err = json.Marshal(doc)
	must.NoError(f.t, err)
	stored, err := f.store.Put(context.Background(), obj)
	must.NoError(f.t, err)
	return stored.Version
}

// issueKey issues an API key and waits until every instance accepts it.
func (f *fleet) issueKey() string {
	f.t.Helper()
	key := f.ctl("key", "issue", serviceName, orgName)
	c := newCaller(f.t, key)
	for _, e := range f.entries {
		f.eventually(promptTimeout, "the key is accepted by "+e.name, func() bool {
			return c.get(e.url()+"/v1/models").status == 200
		})
	}
	return key
}

// withdraw withdraws an API key.
func (f *fleet) withdraw(key string) {
	f.t.Helper()
	f.ctl("key", "withdraw", serviceName, orgName, strings.Split(key, "-")[1])
}

// setPlatformFaults changes the injected faults of the platform.
func (f *fleet) setPlatformFaults(json string) {
	f.t.Helper()
	SetFaults(f.t, f.platformURL, json)
}

// eventually polls until ok returns true and fails the test after the timeout.
func (f *fleet) eventually(timeout time.Duration, condition string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		if ok() {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met within %s: %s", timeout, condition)
		}
	}
}

// SetFaults changes the injected faults of the stand-in at a base URL.
func SetFaults(t testing.TB, baseURL, json string) {
	t.Helper()
	res, err := http.Post(baseURL+"/faults", "application/json", strings.NewReader(json))
	if err != nil {
		t.Fatalf("e2e: set faults: %v", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Fatalf("e2e: set faults %s: %s", json, res.Status)
	}
}
