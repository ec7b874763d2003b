package engine

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
	"github.com/eelgrassbay/eelgrassbay/internal/traffic"
)

// ErrUnreachable means that an engine gave no usable answer. An order may have
// reached the engine.
var ErrUnreachable = errors.New("engine: unreachable")

// ErrMismatchedReply means that an answer belongs to another call, or does not
// name its call. It may show an earlier state.
var ErrMismatchedReply = errors.New("engine: answer to another call")

const (
	maxReportBytes      = 1 << 20
	controlTimeout      = time.Second
	maxIdleControlConns = 2
	// maxResponseHeaderBytes is the size limit of the head of a response.
	maxResponseHeaderBytes = 64 << 10
)

// Client reads engines' reports and cache events, sends them orders and cancels
// attempts. It is safe for concurrent use.
type Client struct {
	http         *http.Client
	bytes        *traffic.Counter
	callIDPrefix string // prefix of the ids of this client's calls
	reportCalls  atomic.Uint64
}

// NewClient returns a client whose calls take at most one second each. The
// calls and their traffic are counted by bytes, which may be nil.
func NewClient(bytes *traffic.Counter) *Client {
	transport := &http.Transport{
		DialContext: bytes.Dial(), MaxIdleConnsPerHost: maxIdleControlConns, IdleConnTimeout: time.Minute,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return &Client{http: &http.Client{Transport: httpconn.Checked(transport), Timeout: controlTimeout}, bytes: bytes, callIDPrefix: rand.Text() + "-"}
}

// Report reads the report of the engine at address (IP:port). It fails with
// ErrMismatchedReply if the answer does not echo the id of this call.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	callID := c.callIDPrefix + strconv.FormatUint(c.reportCalls.Add(1), 10)
	resp, err := c.send(ctx, http.MethodGet, address, PathReport, nil, callID)
	if err != nil {
		return Report{}, err
	}
	defer resp.Body.Close() // unread on ErrMismatchedReply, so the connection is not reused
	if echoed := resp.Header.Get(HeaderAttempt); echoed != callID && resp.StatusCode == http.StatusOK {
		return Report{}, fmt.Errorf("%w: %s%s: sent call id %q, got %q", ErrMismatchedReply, address, PathReport, callID, echoed)
	}
	var r Report
	if err := decode(resp, &r); err != nil {
		return Report{}, err
	}
	return r, nil
}

// CacheEvents reads the cache events of an engine, starting at the sequence
// number since.
func (c *Client) CacheEvents(ctx context.Context, address string, since uint64) (CacheEvents, error) {
	var e CacheEvents
	path := PathCacheEvents + "?since=" + strconv.FormatUint(since, 10)
	return e, c.call(ctx, http.MethodGet, address, path, nil, &e)
}

// Order sends an order. After an error, the order may still take effect at any
// time.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderReply, error) {
	var reply OrderReply
	return reply, c.call(ctx, http.MethodPost, address, PathOrders, o, &reply)
}

// Cancel stops an attempt whose answer is no longer needed.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	return c.call(ctx, http.MethodPost, address, PathCancel+attempt, nil, nil)
}

func (c *Client) call(ctx context.Context, method, address, path string, in, out any) error {
	resp, err := c.send(ctx, method, address, path, in, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return decode(resp, out)
}

// send makes a call and returns its answer with the body unread. It sends callID
// in HeaderAttempt unless callID is empty.
func (c *Client) send(ctx context.Context, method, address, path string, in any, callID string) (*http.Response, error) {
	c.bytes.Call()
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return nil, fmt.Errorf("engine: encoding the request: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, &body)
	if err != nil {
		return nil, fmt.Errorf("%w: %s%s: %w", ErrUnreachable, address, path, err)
	}
	if callID != "" {
		req.Header.Set(HeaderAttempt, callID)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %s%s: %w", ErrUnreachable, address, path, err)
	}
	return resp, nil
}

func decode(resp *http.Response, out any) error {
	endpoint := resp.Request.URL.Host + resp.Request.URL.Path
	if resp.StatusCode >= http.StatusMultipleChoices && resp.StatusCode != http.StatusConflict {
		return fmt.Errorf("%w: %s: %s", ErrUnreachable, endpoint, resp.Status)
	}
	if out == nil {
		return nil
	}
	body := http.MaxBytesReader(nil, resp.Body, maxReportBytes)
	if err := json.NewDecoder(body).Decode(out); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, endpoint, err)
	}
	return nil
}
