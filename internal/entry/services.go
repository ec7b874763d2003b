package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
)

// maxPlainAnswerBytes bounds the answer of a plain service, which is read
// whole before any of it reaches the caller.
const maxPlainAnswerBytes = 8 << 20

// plainModel is the name under which the routing table holds the upstreams of
// a service's plain service.
func plainModel(service string) string { return service + "/" }

// handleService passes a call to the plain service of the service named in
// the path.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request, c *call) *Error {
	name := r.PathValue("service")
	path := strings.TrimPrefix(r.URL.Path, "/services/"+name)
	rt, err := s.findRoute(r, c, name, path)
	if err != nil {
		return err
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	if err := c.checkLeak(r, body); err != nil {
		return err
	}
	if !rt.Idempotent && s.opts.Record.Full() {
		return refuseFor(http.StatusServiceUnavailable, CodeRecordFull, "the service record has no room", busyRetryAfter)
	}
	if err := s.admit(r.Context(), c, rt.CostTokens); err != nil {
		return err
	}
	p := &plainCall{server: s, call: c, route: rt, body: body, path: path, request: r}
	defer p.settle()
	if r.URL.RawQuery != "" {
		p.path += "?" + r.URL.RawQuery
	}
	return p.run(w)
}

// findRoute finds the route of a path and who may take it: on routes that are
// not open, the organisation whose key came with the request.
func (s *Server) findRoute(r *http.Request, c *call, name, path string) (*config.Route, *Error) {
	if hasKey(r) {
		if err := s.authorise(r, c); err != nil {
			return nil, err
		}
		if c.service.Service != name {
			return nil, refuse(http.StatusForbidden, CodeUnauthorized, "the key belongs to another service")
		}
	}
	service, ok := c.known.Services[name]
	if !ok {
		return nil, refuse(http.StatusNotFound, CodeNotFound, "no such service")
	}
	rt, ok := matchRoute(service, r.Method, path)
	switch {
	case !ok:
		return nil, refuse(http.StatusNotFound, CodeNotFound, "no route takes this method and path")
	case c.service == nil && !rt.Open:
		return nil, refuse(http.StatusUnauthorized, CodeUnauthorized, "want a key as \"Authorization: Bearer KEY\"")
	case c.service == nil:
		return rt, c.setOrganisation(config.OrganisationID{Service: name, Organisation: config.OpenOrganisation})
	}
	return rt, nil
}

// matchRoute returns the route with the longest prefix that takes the method.
func matchRoute(service *config.Service, method, path string) (*config.Route, bool) {
	var best *config.Route
	for i := range service.Routes {
		rt := &service.Routes[i]
		if strings.HasPrefix(path, rt.Path) && takes(rt, method) && (best == nil || len(rt.Path) > len(best.Path)) {
			best = rt
		}
	}
	return best, best != nil
}

func takes(rt *config.Route, method string) bool {
	for _, m := range rt.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// plainCall is one call to a plain service.
type plainCall struct {
	server  *Server
	call    *call
	route   *config.Route
	body    []byte
	path    string
	request *http.Request
	ran     bool // an attempt may have run
	fresh   bool // a pooled connection was silent
}

// settle refunds the charge of a call that has not run.
func (p *plainCall) settle() {
	used := p.route.CostTokens
	if !p.ran {
		used = 0
	}
	p.server.opts.Limiter.Refund(p.call.receipt, used)
}

// plainAnswer is a whole answer that has not reached the caller yet.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (p *plainCall) run(w http.ResponseWriter) *Error {
	deadline := p.call.received + time.Duration(p.route.DeadlineMS)*time.Millisecond
	ctx, cancel := context.WithTimeout(p.request.Context(), time.Duration(p.route.DeadlineMS)*time.Millisecond)
	defer cancel()
	req := once.NewRequest(once.RequestOptions{Idempotent: p.route.Idempotent, Deadline: deadline}, p.server.opts.Budget)
	claim, done, err := p.claim(ctx, w, req)
	if done || err != nil {
		return err
	}
	var answer *plainAnswer
	defer func() { p.settleClaim(claim, req, answer) }()
	acquire := func() (*dispatch.Slot, *Error) {
		return p.server.acquire(ctx, p.call, dispatch.Request{
			Organisation: p.call.org.String(), Weight: p.call.weight(), Class: p.call.class,
			Route: route.Request{Model: plainModel(p.call.service.Service), Deadline: deadline},
		})
	}
	err = p.server.attempts(ctx, req, acquire, func(id string, slot *dispatch.Slot) (outcome once.Outcome) {
		answer, outcome = p.attempt(ctx, id, slot)
		p.server.flow(p.call).Attempt(string(outcome))
		p.ran = p.ran || mayHaveRun(outcome)
		release(slot, outcome, 0)
		return outcome
	})
	if err != nil {
		return err
	}
	upstream.CopyAnswerHeader(w.Header(), answer.header)
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body)
	return nil
}

// acquire waits for a slot; its refusal is final.
func (s *Server) acquire(ctx context.Context, c *call, req dispatch.Request) (*dispatch.Slot, *Error) {
	asked := s.opts.Now()
	defer func() { s.flow(c).Queue(s.opts.Now() - asked) }()
	slot, err := s.opts.Dispatch.Acquire(ctx, req)
	if err != nil {
		return nil, refusalOf(err)
	}
	return slot, nil
}

// attempt sends the call to one upstream and reads its whole answer.
func (p *plainCall) attempt(ctx context.Context, id string, slot *dispatch.Slot) (*plainAnswer, once.Outcome) {
	address, ok := addressOf(p.call.service, slot.Upstream)
	if !ok {
		return nil, once.NotSent
	}
	a := &upstream.Attempt{
		ID: id, Method: p.request.Method, Address: address, Path: p.path, Body: p.body,
		Header: upstream.CleanHeader(p.request.Header, p.call.secret), Fresh: p.fresh || !p.route.Idempotent,
	}
	a.Header.Set(engine.HeaderAttempt, id)
	a.Header.Set(headerRequestID, p.call.id)
	p.call.attempted = true
	p.server.recordAttempt(p.call, id, slot.Upstream)
	return p.send(ctx, a)
}

// attemptsPerDeadline leaves time for another attempt when one gets no answer.
const attemptsPerDeadline = 3

// attemptTimeout bounds one attempt of an idempotent call: its connection may
// have gone silent. Other calls have one attempt and all the time.
func (p *plainCall) attemptTimeout() time.Duration {
	if !p.route.Idempotent {
		return time.Duration(p.route.DeadlineMS) * time.Millisecond
	}
	share := p.route.DeadlineMS / attemptsPerDeadline
	return time.Duration(min(share, p.call.service.Deadlines.ProgressMS)) * time.Millisecond
}

// send sends an attempt and reads its whole answer.
func (p *plainCall) send(ctx context.Context, a *upstream.Attempt) (*plainAnswer, once.Outcome) {
	attemptCtx, cancel := context.WithTimeout(ctx, p.attemptTimeout())
	defer cancel()
	answer, outcome := p.exchange(attemptCtx, a)
	if attemptCtx.Err() != nil && ctx.Err() == nil {
		p.server.opts.Metrics.Count(metrics.SilentConnections)
		p.server.opts.Upstream.CloseIdle()
		p.fresh = true
	}
	return answer, outcome
}

func (p *plainCall) exchange(ctx context.Context, a *upstream.Attempt) (*plainAnswer, once.Outcome) {
	resp, err := p.server.opts.Upstream.Do(ctx, a)
	if err != nil {
		p.server.opts.Log.Debug("attempt failed", "request", p.call.id, "attempt", a.ID, "error", err)
		return nil, once.Classify(once.Evidence{Sent: a.Sent.Load()})
	}
	defer resp.Body.Close()
	body, err := upstream.ReadAll(resp.Body, maxPlainAnswerBytes)
	own := resp.Header.Get(engine.HeaderAttempt) == a.ID
	if !own {
		p.server.opts.Metrics.Count(metrics.ForeignAnswers)
		p.server.opts.Log.Warn("answer of another attempt dropped", "request", p.call.id, "attempt", a.ID, "upstream", a.Address)
	}
	outcome := once.Classify(once.Evidence{
		Sent: true, Whole: err == nil && own, Status: resp.StatusCode, Ran: resp.Header.Get(engine.HeaderRan),
	})
	return &plainAnswer{status: resp.StatusCode, header: resp.Header, body: body}, outcome
}

// addressOf finds the address of an upstream in its service's document.
func addressOf(service *config.Service, name string) (string, bool) {
	_, short := inventory.SplitName(name)
	for _, u := range service.Upstreams {
		if u.Name == short {
			return u.Address, true
		}
	}
	return "", false
}
