package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/crashwatch"
	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
)

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request, c *call) *Error {
	return s.handleCompletion(w, r, c, true)
}

func (s *Server) handleCompletions(w http.ResponseWriter, r *http.Request, c *call) *Error {
	return s.handleCompletion(w, r, c, false)
}

// handleCompletion authorises, checks, charges and runs a request to a model.
func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request, c *call, chat bool) *Error {
	if hasKey(r) {
		if err := s.authorise(r, c); err != nil {
			return err
		}
	}
	body, err := s.readBody(w, r, c)
	if err != nil {
		return err
	}
	req, err := s.parseCompletion(body, chat)
	if err != nil {
		return err
	}
	if err := s.findModel(c, req); err != nil {
		return err
	}
	if err := c.checkKeyLeak(r, body); err != nil {
		return err
	}
	c.model = req.modelName
	c.class = classOf(r.Header, req.serviceTier)
	charge := int64(req.promptTokens + req.maxTokens)
	if err := s.admit(r.Context(), c, charge); err != nil {
		return err
	}
	suspect := s.newSuspect(c, r, body, req.promptParts(c.service.Service))
	m := &modelCall{server: s, call: c, req: req, suspect: suspect, sink: newSink(w, req), chargedTokens: charge}
	defer m.refundUnused()
	return m.run(r.Context())
}

// findModel resolves the model within the service of the caller's key. Without
// a key it searches the models that are open to everyone.
func (s *Server) findModel(c *call, req *completion) *Error {
	if c.service != nil {
		return req.resolve(c.service)
	}
	for _, name := range slices.Sorted(maps.Keys(c.snapshot.Services)) {
		if req.resolve(c.snapshot.Services[name]) == nil && req.model.Open {
			return c.setOrganisation(config.OrganisationID{Service: name, Organisation: config.AnonymousOrganisation})
		}
	}
	return newError(http.StatusUnauthorized, CodeUnauthorized, "want a key as \"Authorization: Bearer KEY\"")
}

// modelCall is a call to a model with the state that its attempts share.
type modelCall struct {
	server          *Server
	call            *call
	req             *completion
	suspect         *crashwatch.Request
	sink            sink
	chargedTokens   int64 // charged to the organisation's limits
	usedTokens      int64 // prompt and answer tokens that the engine reported, 0 if not known
	ran             bool  // an attempt may have run
	freshConnection bool  // use a new connection: one failed, so pooled ones may be silent too
	// deadline of the first token, or of the answer to a batch request
	deadline time.Duration
}

func (m *modelCall) model() string { return m.call.service.Service + "/" + m.req.model.Name }

// prefixHash returns the hash that identifies the beginning of the prompt in the
// prefix cache of its model and adapter.
func (m *modelCall) prefixHash() uint64 {
	h := xxhash.New()
	for _, part := range []string{m.model(), m.req.adapter} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(m.req.prefix)
	return h.Sum64()
}

func (m *modelCall) run(ctx context.Context) *Error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.call.service.Deadlines.RequestMS)*time.Millisecond)
	defer cancel()
	defer m.reportDemand()
	body, encodeErr := m.req.upstreamBody()
	if encodeErr != nil {
		return newError(http.StatusBadRequest, CodeBadRequest, "the body cannot be passed on")
	}
	m.deadline = m.answerDeadline()
	req := once.NewRequest(once.RequestOptions{Idempotent: true, Deadline: m.deadline}, m.server.opts.Budget)
	next := &nextAttempt{server: m.server, call: m.call, req: req, suspect: m.suspect, slotRequest: m.slotRequest()}
	defer next.release()
	acquire := func() (*dispatch.Slot, *Error) {
		if !m.sink.reset() {
			return nil, outcomeError(once.Unknown)
		}
		return next.acquire(ctx)
	}
	err := m.server.runAttempts(ctx, req, m.suspect, acquire, func(id string, slot *dispatch.Slot) once.Outcome {
		outcome := m.attempt(ctx, next, id, slot, body)
		releaseSlot(slot, outcome, m.sink.tokens())
		if m.sink.started() && outcome != once.Answered {
			// Another attempt would give a different answer, which cannot
			// continue the part that the caller already has.
			req.GiveUp()
		}
		return outcome
	})
	return m.finishAnswer(err)
}

// answerDeadline returns the deadline of the first token of a live request, or
// of the answer to a batch request, on the instance's monotonic clock.
func (m *modelCall) answerDeadline() time.Duration {
	deadlines := m.call.service.Deadlines
	deadlineMS := deadlines.FirstTokenMS
	if m.call.class == fair.Batch {
		deadlineMS = deadlines.RequestMS
	}
	return m.call.received + time.Duration(deadlineMS)*time.Millisecond
}

func (m *modelCall) slotRequest() dispatch.Request {
	return dispatch.Request{
		Organisation: m.call.org.String(), Weight: m.call.fairWeight(), Class: m.call.class,
		Route: route.Request{
			Model: m.model(), Adapter: m.req.adapter, Prefix: m.prefixHash(), PrefixTokens: m.req.prefixTokens,
			PromptTokens: m.req.promptTokens, MaxTokens: m.req.maxTokens, Deadline: m.deadline,
		},
	}
}

// finishAnswer ends the answer. Once part of it has been sent, an error can only
// be reported inside the stream, which is then truncated.
func (m *modelCall) finishAnswer(err *Error) *Error {
	m.call.deliveredTokens = m.sink.tokens()
	if err == nil {
		return m.sink.finish()
	}
	if !m.sink.started() {
		return err
	}
	err.Code, err.Ran = CodeStreamTruncated, RanUnknown
	m.call.truncatedCode = CodeStreamTruncated
	m.server.logError(m.call, err)
	m.sink.abort(err, m.call.id)
	return nil
}

// attempt runs one attempt on one engine, including resumes on that engine.
func (m *modelCall) attempt(ctx context.Context, next *nextAttempt, id string, slot *dispatch.Slot, body []byte) once.Outcome {
	address, ok := m.server.address(m.call.service, slot.Upstream)
	if !ok {
		return once.NotSent
	}
	defer m.server.opts.Placement.BeginRequest(slot.Upstream, m.req.model.Name, m.req.adapter)()
	if !m.ensureAdapter(ctx, slot.Upstream) {
		return once.RefusedBeforeRun
	}
	if !m.suspect.Take() {
		return once.RefusedBeforeRun
	}
	m.call.attempted = true
	m.server.recordAttempt(m.call, id, slot.Upstream)
	st := m.newStream(next, slot, id, address, body)
	outcome := st.run(ctx)
	if outcome == once.Unknown && ctx.Err() == nil && st.brokeInBeginning() {
		m.server.recordBroken(m.suspect, incarnation(m.call.service, slot.Upstream), address)
	}
	m.server.flow(m.call).Attempt(string(outcome))
	m.ran = m.ran || mayHaveRun(outcome)
	return outcome
}

// attemptHeader returns the request headers of an attempt.
func (m *modelCall) attemptHeader(attempt string) http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set(engine.HeaderAttempt, attempt)
	h.Set(engine.HeaderFlow, m.call.org.String())
	h.Set(engine.HeaderPriority, engine.PriorityLive)
	if m.call.class == fair.Batch {
		h.Set(engine.HeaderPriority, engine.PriorityBatch)
	}
	h.Set(headerRequestID, m.call.id)
	return h
}

func (m *modelCall) newAttempt(id, address string, body []byte) *upstream.Attempt {
	return &upstream.Attempt{ID: id, Method: http.MethodPost, Address: address, Path: m.req.enginePath(), Header: m.attemptHeader(id), Body: body, NewConnection: m.freshConnection}
}
