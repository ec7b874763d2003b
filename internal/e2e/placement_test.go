package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"github.com/eelgrassbay/eelgrassbay/internal/proctest"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

const placementTimeout = 40 * time.Second

// placementFixture is a stand-in process with two engines that have no models
// loaded, and one entry instance.
type placementFixture struct {
	t               *testing.T
	store           *objectstore.Client
	engineAddresses []string
	entryAddress    string
	documentVersion uint64
}

func startPlacementFixture(t *testing.T) *placementFixture {
	t.Helper()
	s := &placementFixture{t: t, engineAddresses: []string{proctest.FreeAddress(t), proctest.FreeAddress(t)}, entryAddress: proctest.FreeAddress(t)}
	api := proctest.FreeAddress(t)
	proctest.Start(t, proctest.Spec{Binary: "eelgrass-standin", ReadyURL: "http://" + api + "/instances", Settings: fmt.Sprintf(`{
		"object_api": {"address": %q, "watch_wait_ms": 2000},
		"engine_timing": {"load_ms": 200, "decode_ms": 1},
		"engines": [
			{"name": "e0", "zone": "north", "address": %q, "memory_mb": 100, "fencing": true},
			{"name": "e1", "zone": "north", "address": %q, "memory_mb": 100},
		],
	}`, api, s.engineAddresses[0], s.engineAddresses[1])})
	s.store = objectstore.NewClient(objectstore.ClientOptions{BaseURL: "http://" + api})
	proctest.Start(t, proctest.Spec{Binary: "eelgrass-entry", Settings: fmt.Sprintf(`{
		"name": "n1", "zone": "north", "listen": %q, "peer_listen": %q, "platform": {"url": %q},
	}`, s.entryAddress, proctest.FreeAddress(t), "http://"+api)})
	return s
}

// applyDocument stores a document whose upstreams are the engines with the given
// indexes.
func (s *placementFixture) applyDocument(engines ...int) {
	s.t.Helper()
	var upstreams []string
	for _, i := range engines {
		upstreams = append(upstreams, fmt.Sprintf(
			`{"name": "e%d", "zone": "north", "kind": "engine", "address": %q, "memory_mb": 100, "fencing": %t, "max_order_delay_s": 3}`,
			i, s.engineAddresses[i], i == 0))
	}
	obj, err := s.store.Put(context.Background(), objectstore.Object{Kind: objectstore.KindService, Name: "lab", Version: s.documentVersion,
		Value: json.RawMessage(fmt.Sprintf(`{"service": "lab",
			"models": [
				{"name": "m0", "memory_mb": 40, "open": true, "adapters": [{"name": "a", "memory_mb": 4}]},
				{"name": "m1", "memory_mb": 40, "open": true}],
			"upstreams": [%s],
			"organisations": [{"name": "open", "rate_tokens_per_s": 1000000, "burst_tokens": 1000000}],
			"deadlines": {"first_token_ms": 3000},
			"loads": {"models_per_s": 50}}`, strings.Join(upstreams, ","))),
	})
	must.NoError(s.t, err)
	s.documentVersion = obj.Version
}

// complete sends one completion request and returns the status and the body. The
// status is 0 if the request failed.
func (s *placementFixture) complete(model string) (int, string) {
	body := fmt.Sprintf(`{"model": %q, "prompt": "one two", "max_tokens": 2}`, model)
	res, err := http.Post("http://"+s.entryAddress+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	must.NoError(s.t, err)
	return res.StatusCode, string(text)
}

func (s *placementFixture) eventually(condition string, ok func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(placementTimeout); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("condition not met within %v: %s", placementTimeout, condition)
		}
	}
}

func (s *placementFixture) getJSON(address, path string, out any) {
	s.t.Helper()
	res, err := http.Get("http://" + address + path)
	must.NoError(s.t, err)
	defer res.Body.Close()
	must.NoError(s.t, json.NewDecoder(res.Body).Decode(out))
}

func (s *placementFixture) residentModels(address string) (models []string) {
	var r engine.Report
	s.getJSON(address, engine.PathReport, &r)
	for _, res := range r.Resident {
		models = append(models, res.Model)
	}
	return models
}

// TestModelsArePlacedAndMoved starts a service on empty engines and requests both
// models and an adapter. It then replaces the engine that holds all models by the
// other one in the document, while requests continue: the models must move
// without a failed request, and no engine may be overcommitted.
func TestModelsArePlacedAndMoved(t *testing.T) {
	s := startPlacementFixture(t)
	s.applyDocument(0)
	for _, model := range []string{"m0", "m1", "m0:a"} {
		s.eventually("a completion from "+model, func() bool {
			status, body := s.complete(model)
			must.True(t, status != http.StatusServiceUnavailable || strings.Contains(body, `"ran":"not_run"`), must.Sprint(body))
			return status == http.StatusOK
		})
	}
	s.applyDocument(1)
	s.eventually("all models moved", func() bool {
		for _, model := range []string{"m0", "m1"} {
			status, body := s.complete(model)
			must.Eq(t, http.StatusOK, status, must.Sprint(model, " ", body))
		}
		return len(s.residentModels(s.engineAddresses[0])) == 0 && len(s.residentModels(s.engineAddresses[1])) >= 2
	})
	for _, e := range s.engineAddresses {
		var c struct {
			Overcommit uint64 `json:"overcommit"`
		}
		s.getJSON(e, "/counters", &c)
		must.Eq(t, 0, c.Overcommit)
	}
}
