package modelengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// handleOrder passes an order to the engine, with the faults of its delivery.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	const limit = 64 << 10
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(&o); err != nil {
		reply.Error(w, http.StatusBadRequest, "order", err.Error())
		return
	}
	if s.faults.Consume(func(f *fault.Faults) *int { return &f.Orders.DropNext }) {
		panic(http.ErrAbortHandler)
	}
	// The delay is not bound to the request's context, because a delayed order
	// takes effect even after its sender has given up.
	time.Sleep(s.faults.ConsumeOrderDelay())
	if s.faults.Consume(func(f *fault.Faults) *int { return &f.Orders.DuplicateNext }) {
		delay := time.Duration(s.faults.Get().Orders.DuplicateDelayMS) * time.Millisecond
		time.AfterFunc(delay, func() { s.step(emulator.OrderArrived{Order: o}) })
	}
	answer := s.step(emulator.OrderArrived{Order: o})
	if s.faults.Consume(func(f *fault.Faults) *int { return &f.Orders.DropReplies }) {
		panic(http.ErrAbortHandler)
	}
	reply.JSON(w, http.StatusOK, answer)
}

// Cancelled is the response body of a cancel request.
type Cancelled struct {
	Cancelled bool `json:"cancelled"` // false if the attempt had already ended
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("attempt")
	s.mu.Lock()
	a := s.attempts.byID[id]
	running := a != nil && !a.progress.ended
	s.mu.Unlock()
	if a == nil {
		reply.Error(w, http.StatusNotFound, "not_found", "no attempt "+id)
		return
	}
	s.step(emulator.Cancel{Attempt: id})
	reply.JSON(w, http.StatusOK, Cancelled{Cancelled: running})
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get(engine.HeaderAttempt); attempt != "" {
		w.Header().Set(engine.HeaderAttempt, attempt)
	}
	reply.JSON(w, http.StatusOK, s.Report())
}

// Report returns the engine's report of its state. The load figures in it are as
// old as Options.ReportLag, or as the engine if that is younger.
func (s *Server) Report() engine.Report {
	s.step(emulator.Tick{})
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.started)
	r := s.engine.Residency()
	r.Boot = s.boot
	r.Leaving = s.faults.Get().Leaving
	load, age := s.loadHistory.at(now)
	r.Running = load.Running
	r.Queued = load.Queued
	r.QueuedPrefill = load.QueuedPrefill
	r.FreeKVTokens = load.FreeKVTokens
	r.AgeMS = age.Milliseconds()
	return r
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "since", "since wants a sequence number: "+err.Error())
		return
	}
	s.mu.Lock()
	list := s.cacheEventLog.since(time.Since(s.started), since)
	s.mu.Unlock()
	reply.JSON(w, http.StatusOK, list)
}

// Models is the response body at /v1/models.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one model or adapter that requests can use.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request) {
	list := Models{Object: "list", Data: []Model{}}
	s.mu.Lock()
	resident := s.engine.Residency().Resident
	s.mu.Unlock()
	for _, it := range resident {
		if it.State != engine.ResidencyReady {
			continue
		}
		id := it.Model
		if it.Adapter != "" {
			id += emulator.AdapterSeparator + it.Adapter
		}
		list.Data = append(list.Data, Model{ID: id, Object: "model"})
	}
	reply.JSON(w, http.StatusOK, list)
}

// fetch fetches weights from the weight store, waits for the engine's own load
// time and passes the outcome to the engine.
func (s *Server) fetch(ctx context.Context, f emulator.FetchWeights) {
	localTime := s.opts.LoadTime
	if f.Adapter != "" {
		localTime = s.opts.AdapterLoadTime
	}
	err := s.fetchFromStore(ctx, f)
	if err == nil {
		time.Sleep(localTime)
	}
	s.step(emulator.WeightsFetched{ID: f.ID, OK: err == nil})
}

func (s *Server) fetchFromStore(ctx context.Context, f emulator.FetchWeights) error {
	if s.opts.WeightsURL == "" {
		return nil
	}
	query := url.Values{"adapter": {f.Adapter}, "version": {f.Version}}
	target := s.opts.WeightsURL + "/weights/" + url.PathEscape(f.Model) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("weights of %s: %w", f.Model, err)
	}
	res, err := s.client.Do(req)
	if err != nil {
		return fmt.Errorf("weights of %s: %w", f.Model, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("weights of %s: status %d", f.Model, res.StatusCode)
	}
	return nil
}
