// Package relay is the form in which an instance asks another one to send a request to an
// upstream that it does not reach itself: HTTP/1.1 with headers of its own. The answer of the
// upstream comes back unchanged, as it arrives. Any other answer says whether the request was
// sent.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
	"github.com/eelgrassbay/eelgrassbay/internal/reach"
)

const (
	headerTo     = "Eelgrass-Relay-To"     // incarnation of the upstream, in requests
	headerResult = "Eelgrass-Relay-Result" // in all answers of a relay
	// headerAgain is there if the relay may have sent the request to the upstream before.
	headerAgain = "Eelgrass-Relay-Again"
	// headerReused is there if the upstream answered on a connection that had carried an
	// earlier request.
	headerReused = "Eelgrass-Relay-Reused"

	resultAnswered  = "answered"  // by the upstream
	resultRefused   = "refused"   // not sent: the relay does not take the request
	resultUnreached = "unreached" // not sent: the relay does not reach the upstream
	resultUnknown   = "unknown"   // sent at least in part, no answer

	// keepAliveSeconds is how long a relay keeps idle connections open.
	keepAliveSeconds = 10
)

// Errors of a relayed attempt. All but ErrUnknown mean that no byte was sent to the upstream.
var (
	ErrRefused   = errors.New("relay: the peer does not take the request")
	ErrUnreached = errors.New("relay: the peer does not reach the upstream")
	ErrUnknown   = errors.New("relay: the peer got no answer")
)

// hopHeaders concern one connection only. The answer's length is that of its body.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Request returns the request that asks the peer at address to send r to an upstream.
func Request(r *httpconn.Request, u reach.Upstream, address string) *httpconn.Request {
	out := *r
	out.Address, out.Header = address, r.Header.Clone()
	out.Header.Set(headerTo, format(u))
	return &out
}

// SetSentBefore records in the headers of a request whether the same relay may have sent it to
// the upstream before. It has to take a new connection then: a late copy of the answer to the
// earlier try could not be told from the answer to this one.
func SetSentBefore(h http.Header, before bool) {
	h.Del(headerAgain)
	if before {
		h.Set(headerAgain, "1")
	}
}

// SentBefore reports whether a peer's request may have been sent by this relay before.
func SentBefore(h http.Header) bool { return h.Get(headerAgain) != "" }

// Target returns the upstream to which a peer wants a request sent. ok is false if the
// request is not one to relay.
func Target(h http.Header) (u reach.Upstream, ok bool) { return parse(h.Get(headerTo)) }

func format(u reach.Upstream) string { return u.ID + " " + strconv.FormatInt(u.StartedAtMS, 10) }

func parse(text string) (u reach.Upstream, ok bool) {
	id, born, found := strings.Cut(text, " ")
	startedAtMS, err := strconv.ParseInt(born, 10, 64)
	return reach.Upstream{ID: id, StartedAtMS: startedAtMS}, found && err == nil && id != ""
}

// Forwarded returns the headers of a peer's request as they go to the upstream.
func Forwarded(h http.Header) http.Header {
	out := h.Clone()
	out.Del(headerTo)
	out.Del(headerAgain)
	out.Del(headerRegions)
	out.Del(headerRegionsSet)
	out.Del("Content-Length") // set anew from the body
	return out
}

// Result returns nil if the answer of a peer is that of the upstream, from whose headers it
// takes its own; resp.Reused is then that of the connection to the upstream. Otherwise it fails
// with one of the errors of this package.
func Result(resp *httpconn.Response) error {
	result := resp.Header.Get(headerResult)
	resp.Reused = resp.Header.Get(headerReused) != ""
	resp.Header.Del(headerResult)
	resp.Header.Del(headerReused)
	switch result {
	case resultAnswered:
		return nil
	case resultRefused:
		return ErrRefused
	case resultUnreached:
		return ErrUnreached
	}
	return ErrUnknown
}

// WriteFailure answers a peer whose request got no answer of the upstream. err is one of the
// errors of this package.
func WriteFailure(w http.ResponseWriter, err error) {
	status, result := http.StatusBadGateway, resultUnknown
	switch {
	case errors.Is(err, ErrRefused):
		status, result = http.StatusServiceUnavailable, resultRefused
	case errors.Is(err, ErrUnreached):
		status, result = http.StatusServiceUnavailable, resultUnreached
	}
	w.Header().Set(headerResult, result)
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", keepAliveSeconds))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// CopyAnswer passes the answer of an upstream on as it arrives. If it fails, the peer must not take the answer for complete.
func CopyAnswer(w http.ResponseWriter, resp *httpconn.Response) error {
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // so that net/http adds none
		}
	}
	h.Set(headerResult, resultAnswered)
	h.Del(headerReused)
	if resp.Reused {
		h.Set(headerReused, "1")
	}
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", keepAliveSeconds))
	w.WriteHeader(resp.Status)
	control := http.NewResponseController(w)
	if err := control.Flush(); err != nil {
		return err
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
