package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/eelgrassbay/eelgrassbay/internal/config"
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

// handleCompletion runs a request to a model.
func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request, c *call, chat bool) *Error {
	if hasKey(r) {
		if err := s.authorise(r, c); err != nil {
			return err
		}
	}
	body, err := s.readBody(w, r)
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
	if err := c.checkLeak(r, body); err != nil {
		return err
	}
	c.model = req.name
	c.class = classOf(r.Header, req.tier)
	charge := int64(req.prompt + req.maxTokens)
	if err := s.admit(r.Context(), c, charge); err != nil {
		return err
	}
	m := &modelCall{server: s, call: c, req: req, sink: newSink(w, req), charge: charge}
	defer m.settle()
	return m.run(r.Context())
}

// findModel resolves the model within the service of the caller's key or,
// without a key, among the models open to all.
func (s *Server) findModel(c *call, req *completion) *Error {
	if c.service != nil {
		return req.resolve(c.service)
	}
	for _, name := range slices.Sorted(maps.Keys(c.known.Services)) {
		if req.resolve(c.known.Services[name]) == nil && req.model.Open {
			return c.setOrganisation(config.OrganisationID{Service: name, Organisation: config.OpenOrganisation})
		}
	}
	return refuse(http.StatusUnauthorized, CodeUnauthorized, "want a key as \"Authorization: Bearer KEY\"")
}

// modelCall is one request to a model.
type modelCall struct {
	server *Server
	call   *call
	req    *completion
	sink   sink
	charge int64 // tokens taken from the organisation's limits
	used   int64 // tokens of the prompt and of the answer, as far as known
	ran    bool  // an attempt may have run
	fresh  bool  // a connection failed: pooled ones may be silent too
	// deadline of the first token, or of a batch request's answer
	deadline time.Duration
}

func (m *modelCall) model() string { return m.call.service.Service + "/" + m.req.model.Name }

// prefix identifies the beginning of the prompt in the cache of its model and
// adapter.
func (m *modelCall) prefix() uint64 {
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
	defer m.countDemand()
	body, encodeErr := m.req.upstreamBody()
	if encodeErr != nil {
		return refuse(http.StatusBadRequest, CodeBadRequest, "the body cannot be passed on")
	}
	m.deadline = m.firstTokenDue()
	req := once.NewRequest(once.RequestOptions{Idempotent: true, Deadline: m.deadline}, m.server.opts.Budget)
	acquire := func() (*dispatch.Slot, *Error) {
		if !m.sink.restart() {
			return nil, outcomeError(once.Unknown)
		}
		return m.server.acquire(ctx, m.call, m.slotRequest())
	}
	err := m.server.attempts(ctx, req, acquire, func(id string, slot *dispatch.Slot) once.Outcome {
		outcome := m.attempt(ctx, id, slot, body)
		release(slot, outcome, m.sink.tokens())
		if m.sink.started() && outcome != once.Answered {
			// The answer of another attempt is another answer: it cannot
			// follow what the caller has.
			req.GiveUp()
		}
		return outcome
	})
	return m.conclude(err)
}

// firstTokenDue returns when the first token of a live request, or the answer
// to a batch request, is due.
func (m *modelCall) firstTokenDue() time.Duration {
	limits := m.call.service.Deadlines
	due := limits.FirstTokenMS
	if m.call.class == fair.Batch {
		due = limits.RequestMS
	}
	return m.call.received + time.Duration(due)*time.Millisecond
}

func (m *modelCall) slotRequest() dispatch.Request {
	return dispatch.Request{
		Organisation: m.call.org.String(), Weight: m.call.weight(), Class: m.call.class,
		Route: route.Request{
			Model: m.model(), Adapter: m.req.adapter, Prefix: m.prefix(), PrefixTokens: m.req.prefixTokens,
			PromptTokens: m.req.prompt, MaxTokens: m.req.maxTokens, Deadline: m.deadline,
		},
	}
}

// conclude ends the answer. Once any of it has reached the caller an error can
// only be told inside the stream, which is then cut.
func (m *modelCall) conclude(err *Error) *Error {
	m.call.tokens = m.sink.tokens()
	if err == nil {
		return m.sink.finish()
	}
	if !m.sink.started() {
		return err
	}
	err.Code, err.Ran = CodeCut, RanUnknown
	m.call.cut = CodeCut
	m.server.logError(m.call, err)
	m.sink.abort(err, m.call.id)
	return nil
}

// attempt runs one attempt on one engine, with resumes on the same engine.
func (m *modelCall) attempt(ctx context.Context, id string, slot *dispatch.Slot, body []byte) once.Outcome {
	address, ok := m.server.address(m.call.service, slot.Upstream)
	if !ok {
		return once.NotSent
	}
	defer m.server.opts.Placement.Started(slot.Upstream, m.req.model.Name, m.req.adapter)()
	if !m.ensureAdapter(ctx, slot.Upstream) {
		return once.RefusedBeforeRun
	}
	m.call.attempted = true
	m.server.recordAttempt(m.call, id, slot.Upstream)
	outcome := m.newStream(slot, id, address, body).run(ctx)
	m.server.flow(m.call).Attempt(string(outcome))
	m.ran = m.ran || mayHaveRun(outcome)
	return outcome
}

func (m *modelCall) header(attempt string) http.Header {
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
	return &upstream.Attempt{ID: id, Method: http.MethodPost, Address: address, Path: m.req.path(), Header: m.header(id), Body: body, Fresh: m.fresh}
}
