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

func (s *Server) completions(w http.ResponseWriter, r *http.Request) { s.serveCompletion(w, r, false) }
func (s *Server) chat(w http.ResponseWriter, r *http.Request)        { s.serveCompletion(w, r, true) }

// serveCompletion serves completions, and chat completions if chat is set.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	p, err := parseRequest(w, r, chat)
	if err != nil {
		reply.NotExecuted(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	id := r.Header.Get(engine.HeaderAttempt)
	offset := 0
	var a *attempt
	if text := r.Header.Get(engine.HeaderOffset); text != "" {
		offset, err = strconv.Atoi(text)
		if err != nil || offset < 0 {
			reply.NotExecuted(w, http.StatusBadRequest, "invalid_request", engine.HeaderOffset+" is not a number of tokens")
			return
		}
		if a = s.resume(id, offset); a == nil {
			reply.NotExecuted(w, http.StatusConflict, "not_resumable", "no stream of attempt "+id+" at that offset")
			return
		}
	} else if a = s.submit(id, p, r.Header.Get(engine.HeaderPriority) == engine.PriorityBatch); a == nil {
		reply.Error(w, http.StatusConflict, "attempt_known", "attempt "+id+" was sent before")
		return
	}
	resp := responder{server: s, attempt: a, request: p, offset: offset}
	if p.stream {
		resp.writeStream(w, r)
		return
	}
	resp.writeComplete(w, r)
}

// resume returns the attempt if its stream can be resumed at offset, or nil. That
// requires that the attempt is known, was not cancelled, and has generated at least
// offset tokens.
func (s *Server) resume(id string, offset int) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempts.byID[id]
	if a == nil || a.progress.cancelled || offset > a.progress.tokens {
		return nil
	}
	return a
}

// submit passes a new attempt to the engine and returns it, or nil if its id is
// known already. An empty id is replaced by a random one.
func (s *Server) submit(id string, p parsedRequest, batch bool) *attempt {
	if id == "" {
		id = "engine-" + rand.Text()
	}
	a := &attempt{
		id:           id,
		tokens:       newTokenGenerator(p.name, p.prompt),
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

// responder writes the response to one attempt, beginning with the token at
// offset.
type responder struct {
	server  *Server
	attempt *attempt
	request parsedRequest
	offset  int
}

// writeRefusal writes the error response to a request that was not executed.
func writeRefusal(w http.ResponseWriter, reason emulator.RefusalReason) {
	status := http.StatusServiceUnavailable
	switch reason {
	case emulator.RefusalNotResident:
		status = http.StatusNotFound
	case emulator.RefusalTooLong:
		status = http.StatusBadRequest
	}
	reply.NotExecuted(w, status, "refused", string(reason))
}

// clientDisconnected cancels the attempt if the engine has the option
// CancelOnDisconnect. Otherwise the attempt runs on.
func (resp responder) clientDisconnected() {
	if resp.server.opts.CancelOnDisconnect {
		resp.server.step(emulator.Cancel{Attempt: resp.attempt.id})
	}
}

// writeComplete writes the whole response once the attempt has ended.
func (resp responder) writeComplete(w http.ResponseWriter, r *http.Request) {
	p := progress{tokens: resp.offset}
	for !p.ended {
		var err error
		if p, err = resp.server.awaitProgress(r.Context(), resp.attempt, p.tokens); err != nil {
			resp.clientDisconnected()
			return
		}
	}
	if p.refused != "" {
		writeRefusal(w, p.refused)
		return
	}
	if p.cancelled {
		panic(http.ErrAbortHandler)
	}
	c := resp.chunk(resp.offset, p.tokens, false)
	c.finish(p, resp.attempt.promptTokens)
	body, err := json.Marshal(c)
	if err != nil {
		reply.Error(w, http.StatusInternalServerError, "encode", err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(engine.HeaderAttempt, resp.attempt.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if resp.server.faults.Get().TruncateStreamAfterTokens > 0 {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// writeStream streams the response token by token. It writes nothing before the
// first token, so that a refusal can still set its status.
func (resp responder) writeStream(w http.ResponseWriter, r *http.Request) {
	out := eventWriter{w: w}
	sent := resp.offset
	for {
		p, err := resp.server.awaitProgress(r.Context(), resp.attempt, sent)
		if err != nil {
			resp.clientDisconnected()
			return
		}
		if p.refused != "" {
			writeRefusal(w, p.refused)
			return
		}
		out.writeHeader(resp.attempt.id)
		for ; sent < p.tokens; sent++ {
			resp.truncateIfDue(sent - resp.offset)
			out.send(resp.chunk(sent, sent+1, true))
		}
		if !p.ended {
			continue
		}
		resp.truncateIfDue(sent - resp.offset)
		resp.endStream(out, p)
		return
	}
}

// endStream sends the last chunk, or aborts the stream of a cancelled attempt.
func (resp responder) endStream(out eventWriter, p progress) {
	if p.cancelled {
		panic(http.ErrAbortHandler)
	}
	c := resp.chunk(p.tokens, p.tokens, true)
	c.finish(p, resp.attempt.promptTokens)
	out.send(c)
	out.sendDone()
}

// truncateIfDue aborts the stream if the fault TruncateStreamAfterTokens is in
// force and that many tokens were sent.
func (resp responder) truncateIfDue(sent int) {
	limit := resp.server.faults.Get().TruncateStreamAfterTokens
	if limit > 0 && sent >= limit {
		panic(http.ErrAbortHandler)
	}
}

// chunk returns a chunk with the tokens in [from, to).
func (resp responder) chunk(from, to int, stream bool) *Chunk {
	text := resp.attempt.tokens.text(from, to)
	c := &Chunk{
		ID:      "cmpl-" + resp.attempt.id,
		Created: time.Now().Unix(),
		Model:   resp.request.name,
		Attempt: resp.attempt.id,
		Offset:  from,
	}
	choice := Choice{}
	switch {
	case !resp.request.chat:
		c.Object, choice.Text = "text_completion", &text
	case stream:
		c.Object, choice.Delta = "chat.completion.chunk", &Content{Content: text}
	default:
		c.Object, choice.Message = "chat.completion", &Content{Content: text}
	}
	if resp.request.chat && from == 0 {
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

// finish sets the finish reason and the usage.
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
