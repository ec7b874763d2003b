package modelengine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// exportKV responds with the KV cache of the longest cached prefix of a prompt,
// which may be empty.
func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		reply.Error(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	prompt, err := req.tokens(len(req.Messages) > 0)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	s.mu.Lock()
	prefix := s.engine.ExportKV(req.Model, prompt)
	s.mu.Unlock()
	reply.JSON(w, http.StatusOK, prefix)
}

// importKV waits for the transfer time of a prefix and puts it into the cache. It
// refuses a prefix whose model is not ready.
func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var prefix engine.KVPrefix
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&prefix); err != nil {
		reply.Error(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	s.mu.Lock()
	ready := s.engine.Ready(prefix.Model)
	s.mu.Unlock()
	if !ready {
		reply.Error(w, http.StatusNotFound, "refused", string(emulator.RefusalNotResident))
		return
	}
	time.Sleep(time.Duration(prefix.Tokens()) * s.opts.KVTransferPerToken)
	s.step(emulator.ImportKV{Prefix: prefix})
	reply.JSON(w, http.StatusOK, engine.KVImported{Tokens: prefix.Tokens()})
}
