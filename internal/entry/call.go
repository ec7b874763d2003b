package entry

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/clientguard"
	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/keys"
	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
)

// call is the state of one request from a caller.
type call struct {
	id              string
	received        time.Duration // monotonic
	snapshot        *docsync.Snapshot
	keySecret       string // secret part of the key, which must not reach an upstream
	keyID           string
	service         *config.Service
	org             config.OrganisationID
	limits          config.Organisation
	class           fair.Class
	model           string        // as the caller sent it
	keyAge          time.Duration // age of the key data that authorised the call
	deliveredTokens int           // answer tokens passed to the caller
	// attempted is set once an attempt has been sent.
	attempted     bool
	held          *clientguard.Holding // memory of the body, nil before it is read
	receipt       limit.Receipt        // for the tokens charged to the organisation
	flow          *metrics.Flow
	truncatedCode Code // set if the answer ended early after part of it was sent
}

// authorise identifies the organisation by the key in the Authorization header.
// It checks the key for every request, also on a kept-alive connection.
func (s *Server) authorise(r *http.Request, c *call) *Error {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return newError(http.StatusUnauthorized, CodeUnauthorized, "want a key as \"Authorization: Bearer KEY\"")
	}
	c.keyAge = s.opts.Replica.Age()
	owner, err := c.snapshot.Keys.Authenticate(key, c.keyAge)
	switch {
	case errors.Is(err, keys.ErrStale):
		return newRetryableError(http.StatusServiceUnavailable, CodeStaleKeyData, "this instance has been cut off for too long to know whether the key is withdrawn", staleKeysRetryAfter)
	case err != nil:
		return newError(http.StatusUnauthorized, CodeUnauthorized, "the key is unknown or withdrawn")
	}
	c.keySecret = keys.SecretPart(key)
	c.keyID = owner.KeyID
	return c.setOrganisation(owner.ID)
}

// staleKeysRetryAfter is the retry-after time while the instance's key data is
// too old to authorise requests.
const staleKeysRetryAfter = 5 * time.Second

// setOrganisation sets the call's organisation and its limits from the snapshot.
func (c *call) setOrganisation(id config.OrganisationID) *Error {
	service, ok := c.snapshot.Services[id.Service]
	if !ok {
		return newError(http.StatusNotFound, CodeNotFound, "no such service")
	}
	limits, ok := service.Organisation(id.Organisation)
	if !ok {
		return newError(http.StatusUnauthorized, CodeUnauthorized, "the organisation is unknown")
	}
	c.service, c.org, c.limits = service, id, limits
	return nil
}

// fairWeight returns the organisation's weight in fair queuing: its rate limit
// in tokens per second.
func (c *call) fairWeight() float64 { return float64(c.limits.RateTokensPerS) }

// hasKey reports whether the request has an Authorization header.
func hasKey(r *http.Request) bool { return r.Header.Get("Authorization") != "" }

// checkKeyLeak returns an error if the path, query or body of the request
// contains the key, since they are forwarded to an upstream.
func (c *call) checkKeyLeak(r *http.Request, body []byte) *Error {
	if upstream.ContainsSecret(r.URL.RequestURI(), body, c.keySecret) {
		return newError(http.StatusBadRequest, CodeBadRequest, "the key may stand in the Authorization header only")
	}
	return nil
}

// classOf returns the class that the priority header or the service tier asks
// for: batch, or live by default.
func classOf(header http.Header, serviceTier string) fair.Class {
	if header.Get("X-Priority") == "batch" || serviceTier == "flex" || serviceTier == "batch" {
		return fair.Batch
	}
	return fair.Live
}
