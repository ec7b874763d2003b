package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

func TestExampleIsValid(t *testing.T) {
	c, err := LoadConfig("../../examples/standin.hujson")
	must.NoError(t, err)
	must.Len(t, 2, c.Engines)
	must.Len(t, 2, c.PlainServices)
	must.Eq(t, 5*time.Millisecond, c.Engines[0].options(c.EngineTiming).Emulator.DecodeBase)
}

func TestBadSettingsAreRefused(t *testing.T) {
	cases := map[string]string{
		`{"enginess": []}`: "enginess",
		`{}`:               "no stand-in",
		`{"object_api": {"address": "localhost:1"}}`:                                                 "object_api.address",
		`{"object_api": {"address": "127.0.0.1:1"}, "weight_store": {"address": "127.0.0.1:1"}}`:     "taken by object_api",
		`{"engines": [{"name": "e", "address": "127.0.0.1:0"}]}`:                                     "engines[0].memory_mb",
		`{"object_api": {"address": "127.0.0.1:1"}, "plain_services": [{"address": "127.0.0.1:2"}]}`: "plain_services[0].name",
		`{"object_api": {"address": "127.0.0.1:1"}} {}`:                                              "after top-level value",
	}
	for src, want := range cases {
		file := filepath.Join(t.TempDir(), "s.hujson")
		must.NoError(t, os.WriteFile(file, []byte(src), 0o600))
		_, err := LoadConfig(file)
		must.ErrorIs(t, err, ErrConfig)
		must.ErrorContains(t, err, want)
	}
}

// groupSettings configures an object API, an engine and a plain service.
const groupSettings = `{
	"object_api": {"address": "127.0.0.1:0"},
	"engines": [{"name": "e1", "zone": "north", "address": "127.0.0.1:0", "memory_mb": 100}],
	"plain_services": [{"name": "p1", "zone": "south", "address": "127.0.0.1:0"}],
}`

func startGroup(t *testing.T) *Group {
	t.Helper()
	var c Config
	must.NoError(t, settings.Decode("site", []byte(groupSettings), &c))
	g, err := Start(c, slog.New(slog.DiscardHandler))
	must.NoError(t, err)
	return g
}

func eventually(t *testing.T, fn func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(fn), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
}

func TestGroupServesRegistersAndStops(t *testing.T) {
	g := startGroup(t)
	ctx := context.Background()
	client := objectstore.NewClient(objectstore.ClientOptions{BaseURL: "http://" + g.Address(NameObjectAPI)})
	states := func() map[string]objectstore.InstanceState {
		list, err := client.Instances(ctx)
		must.NoError(t, err)
		m := map[string]objectstore.InstanceState{}
		for _, inst := range list {
			must.Eq(t, g.Address(inst.Name), inst.Address)
			m[inst.Name] = inst.State
		}
		return m
	}
	eventually(t, func() bool { return len(states()) == 2 })

	engineURL := "http://" + g.Address("e1")
	res, err := http.Post(engineURL+"/faults", "", bytes.NewBufferString(`{"leaving": true}`))
	must.NoError(t, err)
	must.NoError(t, res.Body.Close())
	eventually(t, func() bool { return states()["e1"] == objectstore.InstanceLeaving })
	must.Eq(t, objectstore.InstanceLive, states()["p1"])

	order, err := json.Marshal(engine.Order{ID: "l1", Op: engine.OpLoad, Model: "m", MemoryMB: 50})
	must.NoError(t, err)
	res, err = http.Post(engineURL+engine.PathOrders, "", bytes.NewReader(order))
	must.NoError(t, err)
	must.NoError(t, res.Body.Close())
	eventually(t, func() bool {
		res, err := http.Get(engineURL + engine.PathReport)
		must.NoError(t, err)
		defer res.Body.Close()
		var report engine.Report
		must.NoError(t, json.NewDecoder(res.Body).Decode(&report))
		return report.Leaving && report.Resident[0].State == engine.ResidencyReady
	})

	watch := make(chan error, 1)
	go func() {
		_, err := client.Watch(ctx, objectstore.KindLease, 0)
		watch <- err
	}()
	eventually(t, func() bool {
		res, err := http.Get("http://" + g.Address(NameObjectAPI) + "/calls")
		must.NoError(t, err)
		defer res.Body.Close()
		var calls map[string]int
		must.NoError(t, json.NewDecoder(res.Body).Decode(&calls))
		return calls["watch"] == 1
	})
	must.NoError(t, g.Stop())
	must.ErrorIs(t, <-watch, objectstore.ErrUnavailable)
}
