package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/clientguard"
	"github.com/eelgrassbay/eelgrassbay/internal/crashwatch"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
)

// Codec translates between the gateway's types and the wire format of callers
// and upstreams. It makes no decisions.
type Codec interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(h http.Header) (fleet.Request, error)
	// ForwardedRequestHeader returns the headers of the request to an upstream,
	// given the caller's headers.
	ForwardedRequestHeader(in http.Header, f Forward) http.Header
	// CopyResponseHeader copies the headers of an upstream's answer to those of the
	// answer to the caller.
	CopyResponseHeader(out, in http.Header)
	// ClassifyResponse returns what the status and headers of an upstream's answer
	// prove. attemptID is the ID that the caller gave the request; an answer with
	// another ID is not the answer to it. reused is whether the connection carried an
	// earlier request: an answer without an ID may then be one to that.
	ClassifyResponse(status int, h http.Header, attemptID string, reused bool) fleet.AnswerKind
	// DecodeNotice returns what an upstream says about its own state in the status and
	// headers of an answer. The error names what is malformed.
	DecodeNotice(status int, h http.Header) (fleet.Notice, error)
	// MatchesRequest reports whether an answer may belong to a request, given the
	// headers of both.
	MatchesRequest(request, answer http.Header) bool
	// IdentityRequest returns the request that asks the process at an upstream's address who it is.
	IdentityRequest(u *fleet.Upstream) *httpconn.Request
	// CheckIdentity returns an error if an answer to that request is the one of another process than the
	// upstream as it is listed. body is nil if its end is not marked.
	CheckIdentity(u *fleet.Upstream, status int, h http.Header, body []byte) error
	// WriteError writes the gateway's own answer for a refusal. attemptID is
	// the ID that the caller gave the request.
	WriteError(w http.ResponseWriter, attemptID string, r fleet.Refusal)
}

// Forward is what the gateway tells an upstream about a forwarded request.
type Forward = fleet.Forward

const (
	// defaultMaxBodyBytes is the maximum size of request bodies if the
	// configuration sets none.
	defaultMaxBodyBytes = 4 << 20
	// notReadyRetryAfter is the retry-after time of requests at an instance that
	// has no configuration yet.
	notReadyRetryAfter = time.Second
	// The caller of a stream is assumed to give up waiting for an event after the
	// longest of these times.
	minStreamPatience        = 2 * time.Second
	streamPatienceObjectives = 4 // multiple of the route's objective
	streamPatienceGaps       = 8 // multiple of the longest pause that still counts as on time
)

// exchange is the processing of one request of a caller.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	arrived time.Duration

	req     fleet.Request
	config  *fleet.Config
	route   *fleet.Route
	org     *fleet.Organisation // nil on public routes
	service string
	body    [][]byte             // in parts
	held    *clientguard.Holding // memory of the body, nil before it is read
	cost    float64              // charged to the organisation's limit
	job     *assign.Job
	suspect *crashwatch.Request

	patience time.Duration // how long the caller waits for an event, or for the answer

	mayHaveRun    bool                // some upstream may have started the request
	reserved      *retry              // from the retry budget, for an attempt that is not decided yet, nil for none
	questioned    *assign.Placement   // of the last attempt that ended so that another upstream is asked, nil for none
	ran           int                 // ended attempts that may have run
	rejected      int                 // ended attempts that the upstream received and did not run
	unsent        int                 // ended attempts of which no byte was sent
	rejectedBy    []string            // upstreams that rejected the request and are still excluded for it
	retry         retry               // taken last from the retry budget
	next          *attempt            // begun already, nil if there is none
	placed        *assign.QueueResult // of the next attempt, nil if it is to be placed first
	rec           requestRecord
	leaveShutdown func() bool // lets the request go on to the end of the instance

	// sentAt is the boot time at which the request was last sent, by the way on which it went.
	sentAt map[way]time.Duration
}

// way is how a request goes to an upstream.
type way struct {
	address string // of the upstream
	relay   string // name of the peer that sends it, empty for the own link
}

// ServeHTTP handles one request of a caller. It implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, ctx: r.Context(), arrived: g.now()}
	defer x.finish()
	if refusal := x.identify(); refusal.Reason != fleet.ReasonNone {
		clientguard.SkipBody(w, r)
		x.refuse(refusal)
		return
	}
	if refusal := x.admit(); refusal.Reason != fleet.ReasonNone {
		x.refuse(refusal)
		return
	}
	x.serve()
}

// identify determines the route, the organisation and the service of the request.
func (x *exchange) identify() fleet.Refusal {
	req, err := x.g.codec.DecodeRequest(x.r.Header)
	x.req = req
	x.config = x.g.catalog.Config()
	switch {
	case x.config == nil, x.g.evacuations.pending():
		return fleet.Refusal{Reason: fleet.ReasonNotReady, RetryAfter: notReadyRetryAfter}
	case err != nil:
		return fleet.Refusal{Reason: fleet.ReasonBadRequest}
	}
	x.route = x.config.Route(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		return fleet.Refusal{Reason: fleet.ReasonNoRoute}
	}
	if !x.route.Public && len(x.config.Organisations) > 0 {
		if x.org = x.config.OrganisationByKey(req.Key); x.org == nil {
			return fleet.Refusal{Reason: fleet.ReasonBadKey}
		}
	}
	x.service = pickService(x.route, x.serviceID())
	if x.namesNoModel() {
		return fleet.Refusal{Reason: fleet.ReasonModelAbsent, RetryAfter: unknownModelRetryAfter}
	}
	return fleet.Refusal{}
}

// unknownModelRetryAfter is the retry-after time of requests for a model or adapter that the
// configuration does not have: a later one may.
const unknownModelRetryAfter = time.Second

// namesNoModel reports whether the request asks for a model or adapter that there is not. Nothing is
// remembered by such a name, as callers can make up any number of them.
func (x *exchange) namesNoModel() bool {
	if x.req.Model == "" {
		return false
	}
	for _, name := range servicesOf(x.route) {
		svc := x.config.Services[name]
		if svc == nil || svc.Engine == nil || svc.Engine.Has(x.req.Model, x.req.Adapter) || x.g.dispatcher.hasModel(name, x.req.Model, x.req.Adapter) {
			return false
		}
	}
	return true
}

// countDemand counts the work that the request asks of its model. Names that callers of a plain
// service send are none of models.
func (x *exchange) countDemand() {
	if x.job.NeedsEngine {
		x.g.demandMeter.count(x.service, x.req.Model, x.req.Adapter, x.req.Work())
	}
}

// takesUp reports whether the caller takes up a stream of which it has events already.
func (x *exchange) takesUp() bool {
	return x.route.Kind == fleet.KindStream && x.req.Resumes != "" && x.req.LastEventID != ""
}

// serviceID returns the ID that picks one of the route's services: that of the request at which
// the stream began.
func (x *exchange) serviceID() string {
	if x.takesUp() {
		return x.req.Resumes
	}
	return x.req.AttemptID
}

// moveTo lets the request go to another one of the route's services.
func (x *exchange) moveTo(service string) {
	svc := x.config.Services[service]
	x.service, x.job.Service, x.job.NeedsEngine = service, service, svc != nil && svc.Engine != nil
	x.suspect = x.g.crashes.NewRequest(promptKeys(service, x.req.Parts), x.head, x.body...)
	x.countDemand()
	x.g.retryBudget.countRequest(service)
	x.rec.stream = x.newStreamState() // expects the steps of the service
}

// admit reads the body, creates the job and checks the organisation's limit.
func (x *exchange) admit() fleet.Refusal {
	limit := x.config.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	x.held = x.g.clients.Hold(x.ctx)
	body, err := x.held.ReadBody(x.w, x.r, limit)
	if err != nil {
		return bodyRefusal(err)
	}
	x.body = body
	if n := len(x.req.Parts) * partBytes; n > 0 && !x.held.Take(n) {
		return bodyRefusal(clientguard.ErrMemory)
	}
	x.makeJob()
	x.suspect = x.g.crashes.NewRequest(promptKeys(x.service, x.req.Parts), x.head, body...)
	if refusal, held := x.heldBack(); held {
		return refusal
	}
	x.countDemand()
	x.g.retryBudget.countRequest(x.service)
	if x.org == nil {
		return fleet.Refusal{}
	}
	cost := x.req.Cost(x.org)
	d := x.g.limiter.admit(x.org, cost)
	if !d.Admitted {
		x.rec.limit = &d
		return fleet.Refusal{Reason: fleet.ReasonRateLimited, RetryAfter: d.RetryAfter}
	}
	x.cost = cost
	return fleet.Refusal{}
}

// memoryRetryAfter is the retry-after time of requests for which there is no memory.
const memoryRetryAfter = 500 * time.Millisecond

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error) fleet.Refusal {
	switch {
	case errors.Is(err, clientguard.ErrTooLarge):
		return fleet.Refusal{Reason: fleet.ReasonTooLarge}
	case errors.Is(err, clientguard.ErrMemory):
		return fleet.Refusal{Reason: fleet.ReasonNoMemory, RetryAfter: memoryRetryAfter}
	case errors.Is(err, clientguard.ErrSlow):
		return fleet.Refusal{Reason: fleet.ReasonSlowBody}
	}
	return fleet.Refusal{Reason: fleet.ReasonBadRequest}
}

// makeJob creates the scheduler's job, with the times by which an answer is due.
func (x *exchange) makeJob() {
	timeout := x.route.Timeout
	if x.req.Deadline > 0 && (timeout <= 0 || x.req.Deadline < timeout) {
		timeout = x.req.Deadline
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	objective := x.route.Objective
	if objective <= 0 {
		objective = timeout
	}
	patience := timeout
	if x.route.Kind == fleet.KindStream {
		patience = min(timeout, max(minStreamPatience, streamPatienceObjectives*objective, streamPatienceGaps*x.route.MaxGap))
	}
	x.patience = patience
	svc := x.config.Services[x.service]
	x.job = &assign.Job{
		ID: x.req.AttemptID, Service: x.service, Model: x.req.Model, Adapter: x.req.Adapter,
		Retryable:    x.route.Repeatable() && x.route.MaxAttempts > 1,
		NeedsEngine:  svc != nil && svc.Engine != nil,
		PromptTokens: x.req.PromptTokens, OutputTokens: x.req.OutputTokens, LengthHint: x.req.LengthHint, PromptParts: x.req.Parts,
		Urgency: x.urgency(objective), Arrived: x.arrived, Objective: x.arrived + objective,
		FirstEventDeadline: x.arrived + patience, Deadline: x.arrived + timeout, Regions: fleet.AllowedRegions(x.route, x.org),
	}
}

// defaultTimeout is the timeout of requests for which neither the route nor the
// caller sets one.
const defaultTimeout = 60 * time.Second

// relaxedObjective is the smallest objective with which a request counts as less
// urgent than others of its priority.
const relaxedObjective = time.Second

// urgency returns the urgency of the request, by which the gateway and the
// engines order requests: by priority, and within one priority by whether the
// caller waits for the answer. The priority of an organisation overrides that of
// the route.
func (x *exchange) urgency(objective time.Duration) int {
	priority := x.route.Priority
	if x.org != nil && x.org.HasPriority {
		priority = x.org.Priority
	}
	urgency := 2 * priority
	if objective >= relaxedObjective {
		urgency++
	}
	return min(max(urgency, 0), assign.UrgencyLevels-1)
}

// refuse answers the request with a refusal by the gateway.
func (x *exchange) refuse(r fleet.Refusal) {
	x.rec.refusal = r
	x.closeInStop()
	x.g.codec.WriteError(x.w, x.req.AttemptID, r)
}

// finish refunds the cost of a request that did not run and records the request.
func (x *exchange) finish() {
	if x.held != nil {
		x.held.Release()
	}
	if x.cost > 0 && !x.mayHaveRun {
		x.g.limiter.refund(x.org.Name, x.cost)
	}
	x.rec.write(x)
	if x.rec.abort {
		panic(http.ErrAbortHandler) // the caller must see that the answer is incomplete
	}
}
