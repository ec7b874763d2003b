package httpconn

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrFaultyHead means that the head of a response is none in HTTP/1.1 (RFC 9112), or that the end of
// its body cannot be told from it. It wraps what is wrong. Exchanges fail with it besides
// ErrExchangeFailed.
var ErrFaultyHead = errors.New("httpconn: faulty head of a response")

// checkHead checks the bytes of a head that http.ReadResponse has accepted, with the empty line at its
// end. That takes any number for a status, ignores fields whose names are none, so that a length or
// a coding does not count, and ignores codings in HTTP/1.0, whose chunks would pass for the body.
func checkHead(resp *http.Response, head []byte) error {
	if err := checkStatus(resp); err != nil {
		return err
	}
	first, rest, _ := bytes.Cut(head, []byte("\n"))
	first = bytes.TrimSuffix(first, []byte("\r"))
	if resp.ProtoMajor != 1 || !httpguts.ValidHeaderFieldValue(string(first)) {
		return faultyHead("status line", first)
	}
	old := !resp.ProtoAtLeast(1, 1)
	for line := range bytes.Lines(rest) {
		if line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")); len(line) > 0 {
			if err := checkLine(line, old); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkLine checks the line of a field. old is whether the response is one of HTTP/1.0.
func checkLine(line []byte, old bool) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if line[0] == ' ' || line[0] == '\t' { // continues the value before
		if value != nil && httpguts.ValidHeaderFieldName(string(bytes.TrimSpace(name))) {
			return faultyHead("continued line", line) // or a field with a blank before its name
		}
		value = line
	} else if !httpguts.ValidHeaderFieldName(string(name)) {
		return faultyHead("field name", name)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return faultyHead("field value", line)
	}
	if old && strings.EqualFold(string(name), "Transfer-Encoding") {
		return faultyHead("transfer coding in HTTP/1.0", line)
	}
	return nil
}

// maxQuotedHead bounds the bytes of a head that an error quotes.
const maxQuotedHead = 40

func faultyHead(what string, text []byte) error {
	return fmt.Errorf("%w: %s %q", ErrFaultyHead, what, text[:min(len(text), maxQuotedHead)])
}

// checkedTransport fails where the head of a response is faulty.
type checkedTransport struct{ base *http.Transport }

// Checked returns a transport that checks what base lets through: it fails with ErrFaultyHead if the
// status of a response lies outside 100 to 599 or a field name is none.
func Checked(base *http.Transport) http.RoundTripper { return checkedTransport{base} }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkParsed(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport, as http.Client asks for.
func (t checkedTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }

func checkParsed(resp *http.Response) error {
	if err := checkStatus(resp); err != nil {
		return err
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return faultyHead("field name", []byte(name))
		}
	}
	return nil
}

// maxStatus is the highest status. Values outside 100 to 599 are none (RFC 9110, section 15).
const maxStatus = 599

func checkStatus(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return faultyHead("status", []byte(resp.Status))
	}
	return nil
}
