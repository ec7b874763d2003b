package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
)

// endSettleTime is how long the end of an answer that only its connection's close tells is held
// back. A process that ends closes its connections and its address one after the other.
const endSettleTime = 40 * time.Millisecond

var (
	errReplaced        = errors.New("gateway: another process serves the upstream's address")
	errRelayedUnframed = errors.New("gateway: relayed answer without a length or chunks")
)

// proveEnd returns err, the result of reading the answer to an attempt to its end. Without one
// it fails with httpconn.ErrEndUnproven if the answer may have been cut there. The upstream has
// no work with the request meanwhile, so that its place is given back first.
func (x *exchange) proveEnd(a *attempt, err error) error {
	if err != nil || !a.response.Unframed() {
		return err
	}
	if a.via() != "" { // a relay frames what it passes on
		return fmt.Errorf("%w: %w", httpconn.ErrEndUnproven, errRelayedUnframed)
	}
	if a.response.Status < http.StatusInternalServerError {
		x.release(a, assign.ResultOK)
	}
	return x.g.proveEnd(a.ctx, a.Decision.Upstream, a.response, nil)
}

// proveEnd is exchange.proveEnd for the answer of an upstream over the own link.
func (g *Gateway) proveEnd(ctx context.Context, u *fleet.Upstream, resp *httpconn.Response, err error) error {
	if err != nil || !resp.Unframed() {
		return err
	}
	if err := resp.ProveEnd(ctx, g.processOf(u)); err != nil {
		return err
	}
	if g.catalog.Replaced(u) {
		return fmt.Errorf("%w: %w", httpconn.ErrEndUnproven, errReplaced)
	}
	return nil
}

// processOf returns what tells the process of an upstream as it is listed from the next one at its address.
func (g *Gateway) processOf(u *fleet.Upstream) httpconn.Process {
	p := httpconn.Process{
		Ask: g.codec.IdentityRequest(u),
		Check: func(status int, h http.Header, body []byte) error {
			g.metrics.Count("identities_asked")
			return g.codec.CheckIdentity(u, status, h, body)
		},
	}
	if u.StartedAtMS != 0 {
		p.Key = fmt.Sprintf("%s/%d", u.ID, u.StartedAtMS)
	}
	return p
}
