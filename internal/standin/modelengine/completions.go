package modelengine

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

func (s *Server) completions(w http.ResponseWriter, r *http.Request) { s.serve(w, r, false) }
func (s *Server) chat(w http.ResponseWriter, r *http.Request)        { s.serve(w, r, true) }

// serve answers both calls.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	p, err := parse(w, r, chat)
	if err != nil {
		reply.NotRun(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	id := r.Header.Get(engine.HeaderAttempt)
	offset := 0
	var a *attempt
	if text := r.Header.Get(engine.HeaderOffset); text != "" {
		offset, err = strconv.Atoi(text)
		if err != nil || offset < 0 {
			reply.NotRun(w, http.StatusBadRequest, "invalid_request", engine.HeaderOffset+" is not a number of tokens")
			return
		}
		if a = s.resume(id, offset); a == nil {
			reply.NotRun(w, http.StatusConflict, "not_resumable", "no stream of attempt "+id+" at that offset")
			return
		}
	} else if a = s.submit(id, p, r.Header.Get(engine.HeaderPriority) == engine.PriorityBatch); a == nil {
		reply.Error(w, http.StatusConflict, "attempt_known", "attempt "+id+" was sent before")
		return
	}
	ans := answer{server: s, attempt: a, request: p, offset: offset}
	if p.stream {
		ans.stream(w, r)
		return
	}
	ans.whole(w, r)
}

// resume returns a known attempt whose stream can go on at offset.
func (s *Server) resume(id string, offset int) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempts.byID[id]
	if a == nil || a.progress.cut || offset > a.progress.tokens {
		return nil
	}
	return a
}

// submit gives a new attempt to the engine; nil if the id is known.
func (s *Server) submit(id string, p parsed, batch bool) *attempt {
	if id == "" {
		id = "engine-" + rand.Text()
	}
	a := &attempt{
		id:           id,
		text:         newTextSource(p.name, p.prompt),
		promptTokens: len(p.prompt),
		changed:      make(chan struct{}),
	}
	s.mu.Lock()
	known := s.attempts.byID[id] != nil
	if !known {
		s.attempts.byID[id] = a
	}
	s.mu.Unlock()
	if known {
		return nil
	}
	s.step(emulator.Submit{
		Attempt:   id,
		Model:     p.model,
		Adapter:   p.adapter,
		Prompt:    p.prompt,
		MaxTokens: p.maxTokens,
		Batch:     batch,
	})
	return a
}

// answer writes one attempt's answer, from an offset on.
type answer struct {
	server  *Server
	attempt *attempt
	request parsed
	offset  int
}

// refuse answers a request that did not run.
func refuse(w http.ResponseWriter, reason emulator.Refusal) {
	status := http.StatusServiceUnavailable
	switch reason {
	case emulator.RefusalNotResident:
		status = http.StatusNotFound
	case emulator.RefusalTooLong:
		status = http.StatusBadRequest
	}
	reply.NotRun(w, status, "refused", string(reason))
}

// gone ends the answer to a client that went away. The engine goes on, unless
// its settings say otherwise.
func (ans answer) gone() {
	if ans.server.opts.CancelOnDisconnect {
		ans.server.step(emulator.Cancel{Attempt: ans.attempt.id})
	}
}

// whole answers when the attempt has ended.
func (ans answer) whole(w http.ResponseWriter, r *http.Request) {
	p := progress{tokens: ans.offset}
	for !p.ended {
		var err error
		if p, err = ans.server.await(r.Context(), ans.attempt, p.tokens); err != nil {
			ans.gone()
			return
		}
	}
	if p.refused != "" {
		refuse(w, p.refused)
		return
	}
	if p.cut {
		panic(http.ErrAbortHandler)
	}
	c := ans.chunk(ans.offset, p.tokens, false)
	c.finish(p, ans.attempt.promptTokens)
	body, err := json.Marshal(c)
	if err != nil {
		reply.Error(w, http.StatusInternalServerError, "encode", err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(engine.HeaderAttempt, ans.attempt.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if ans.server.faults.Get().CutStreamAfterTokens > 0 {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// stream answers token by token. Nothing is written before the first token,
// so that a refusal can still have its status.
func (ans answer) stream(w http.ResponseWriter, r *http.Request) {
	out := events{w: w}
	sent := ans.offset
	for {
		p, err := ans.server.await(r.Context(), ans.attempt, sent)
		if err != nil {
			ans.gone()
			return
		}
		if p.refused != "" {
			refuse(w, p.refused)
			return
		}
		out.begin(ans.attempt.id)
		for ; sent < p.tokens; sent++ {
			ans.cutIfDue(sent - ans.offset)
			out.send(ans.chunk(sent, sent+1, true))
		}
		if !p.ended {
			continue
		}
		ans.cutIfDue(sent - ans.offset)
		ans.end(out, p)
		return
	}
}

// end sends the last chunk, or breaks the stream of a cancelled attempt.
func (ans answer) end(out events, p progress) {
	if p.cut {
		panic(http.ErrAbortHandler)
	}
	c := ans.chunk(p.tokens, p.tokens, true)
	c.finish(p, ans.attempt.promptTokens)
	out.send(c)
	out.done()
}

// cutIfDue breaks the stream if a fault says so.
func (ans answer) cutIfDue(sent int) {
	limit := ans.server.faults.Get().CutStreamAfterTokens
	if limit > 0 && sent >= limit {
		panic(http.ErrAbortHandler)
	}
}

// chunk holds the tokens from one index up to another.
func (ans answer) chunk(from, to int, stream bool) *Chunk {
	text := ans.attempt.text.span(from, to)
	c := &Chunk{
		ID:      "cmpl-" + ans.attempt.id,
		Created: time.Now().Unix(),
		Model:   ans.request.name,
		Attempt: ans.attempt.id,
		Offset:  from,
	}
	choice := Choice{}
	switch {
	case !ans.request.chat:
		c.Object, choice.Text = "text_completion", &text
	case stream:
		c.Object, choice.Delta = "chat.completion.chunk", &Content{Content: text}
	default:
		c.Object, choice.Message = "chat.completion", &Content{Content: text}
	}
	if ans.request.chat && from == 0 {
		choice.setRole("assistant")
	}
	c.Choices = []Choice{choice}
	return c
}

func (c *Choice) setRole(role string) {
	if c.Delta != nil {
		c.Delta.Role = role
	}
	if c.Message != nil {
		c.Message.Role = role
	}
}

// finish adds the reason of the end and the usage.
func (c *Chunk) finish(p progress, promptTokens int) {
	reason := "length"
	if p.stopped {
		reason = "stop"
	}
	c.Choices[0].FinishReason = &reason
	c.Usage = &Usage{
		PromptTokens:     promptTokens,
		CompletionTokens: p.tokens,
		TotalTokens:      promptTokens + p.tokens,
	}
}
