package entry

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/keys"
	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
)

// call is one request of a caller on its way through the instance.
type call struct {
	id       string
	received time.Duration // monotonic
	known    *replica.Snapshot
	secret   string // of the key, to keep it from upstreams
	keyID    string
	service  *config.Service
	org      config.OrganisationID
	limits   config.Organisation
	class    fair.Class
	model    string        // as the caller named it
	keyAge   time.Duration // age of the knowledge of keys
	tokens   int           // tokens of the answer that reached the caller
	// attempted is set once an attempt went out.
	attempted bool
	receipt   limit.Receipt // of what was charged to the organisation
	flow      *metrics.Flow
	cut       Code // set if the answer broke off after it had begun
}

// authorise finds the organisation whose key came with the request. Knowledge
// of keys is looked up for every request, also on a connection kept open.
func (s *Server) authorise(r *http.Request, c *call) *Error {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refuse(http.StatusUnauthorized, CodeUnauthorized, "want a key as \"Authorization: Bearer KEY\"")
	}
	c.keyAge = s.opts.Replica.Age()
	owner, err := c.known.Keys.Check(key, c.keyAge)
	switch {
	case errors.Is(err, keys.ErrStale):
		return refuseFor(http.StatusServiceUnavailable, CodeKeyStale, "this instance has been cut off for too long to know whether the key is withdrawn", staleRetryAfter)
	case err != nil:
		return refuse(http.StatusUnauthorized, CodeUnauthorized, "the key is unknown or withdrawn")
	}
	c.secret = keys.Secret(key)
	c.keyID = owner.KeyID
	return c.setOrganisation(owner.ID)
}

const staleRetryAfter = 5 * time.Second

func (c *call) setOrganisation(id config.OrganisationID) *Error {
	service, ok := c.known.Services[id.Service]
	if !ok {
		return refuse(http.StatusNotFound, CodeNotFound, "no such service")
	}
	limits, ok := service.Organisation(id.Organisation)
	if !ok {
		return refuse(http.StatusUnauthorized, CodeUnauthorized, "the organisation is unknown")
	}
	c.service, c.org, c.limits = service, id, limits
	return nil
}

// weight is the organisation's share of the service: its rate.
func (c *call) weight() float64 { return float64(c.limits.RateTokensPerS) }

// hasKey reports whether the request carries a key at all.
func hasKey(r *http.Request) bool { return r.Header.Get("Authorization") != "" }

// checkLeak refuses a request that would show its key to an upstream.
func (c *call) checkLeak(r *http.Request, body []byte) *Error {
	if upstream.Leaks(r.URL.RequestURI(), body, c.secret) {
		return refuse(http.StatusBadRequest, CodeBadRequest, "the key may stand in the Authorization header only")
	}
	return nil
}

// classOf tells overnight work from live work.
func classOf(header http.Header, serviceTier string) fair.Class {
	if header.Get("X-Priority") == "batch" || serviceTier == "flex" || serviceTier == "batch" {
		return fair.Batch
	}
	return fair.Live
}
