package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
	"github.com/eelgrassbay/eelgrassbay/internal/traffic"
)

// HeaderIfMatch is the request header with the version that a write expects.
const HeaderIfMatch = "If-Match"

const (
	defaultTimeout      = 2 * time.Second
	defaultWatchTimeout = 30 * time.Second
	maxResponseBytes    = 256 << 20
	// maxResponseHeaderBytes is the size limit of the head of a response.
	maxResponseHeaderBytes = 64 << 10
	idleConnsPerHost       = 32
)

// ClientOptions are the settings of a Client. Zero durations mean defaults.
type ClientOptions struct {
	BaseURL      string        // scheme and IP:port of the platform
	Timeout      time.Duration // timeout of one call
	WatchTimeout time.Duration // timeout of one watch; must exceed the server's wait time
	HTTPClient   *http.Client  // nil: the client creates its own
	// Bytes counts the bytes on the connections of the client that is created
	// if HTTPClient is nil; nil counts none.
	Bytes *traffic.Counter
}

// Client accesses the object store and the instance list over HTTP. It
// implements Store and InstanceList and is safe for concurrent use.
type Client struct {
	baseURL      string
	timeout      time.Duration
	watchTimeout time.Duration
	http         *http.Client
	instances    instancesCache
}

// instancesCache holds the last instance list received and its entity tag.
type instancesCache struct {
	mu   sync.Mutex
	etag string
	list []Instance
}

var (
	_ Store        = (*Client)(nil)
	_ InstanceList = (*Client)(nil)
)

// NewClient returns a client for the platform at opts.BaseURL.
func NewClient(opts ClientOptions) *Client {
	c := &Client{
		baseURL:      strings.TrimRight(opts.BaseURL, "/"),
		timeout:      opts.Timeout,
		watchTimeout: opts.WatchTimeout,
		http:         opts.HTTPClient,
	}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.watchTimeout <= 0 {
		c.watchTimeout = defaultWatchTimeout
	}
	if c.http == nil {
		c.http = &http.Client{Transport: httpconn.Checked(&http.Transport{
			DialContext:            opts.Bytes.Dial(),
			MaxIdleConnsPerHost:    idleConnsPerHost,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			IdleConnTimeout:        time.Minute,
		})}
	}
	return c
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one HTTP request to the platform.
type call struct {
	method  string
	path    string
	version *uint64 // sent in If-Match
	body    []byte
	timeout time.Duration
	etag    *string // sent in If-None-Match if not empty; set to the response's ETag
}

// errNotModified means that the response with the entity tag that was sent is
// still current (status 304).
var errNotModified = errors.New("objectstore: not modified")

// isWrite reports whether the call may change the platform's state.
func (k call) isWrite() bool { return k.method != http.MethodGet }

// do performs a call and decodes the JSON body of the response into out, unless
// out is nil.
func (c *Client) do(ctx context.Context, k call, out any) error {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, k.method, c.baseURL+k.path, bytes.NewReader(k.body))
	if err != nil {
		return fmt.Errorf("objectstore: %s %s: %w", k.method, k.path, err)
	}
	if k.version != nil {
		req.Header.Set(HeaderIfMatch, strconv.FormatUint(*k.version, 10))
	}
	if k.etag != nil && *k.etag != "" {
		req.Header.Set("If-None-Match", *k.etag)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return k.transportError(connected.Load(), err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return k.transportError(true, err)
	}
	if k.etag != nil {
		if res.StatusCode == http.StatusNotModified {
			return errNotModified
		}
		*k.etag = res.Header.Get("ETag")
	}
	if err := k.statusError(res.StatusCode, body); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return k.transportError(true, err)
	}
	return nil
}

// transportError returns the error of a call without a complete, valid response:
// ErrOutcomeUnknown for a write that had a connection and so may have been sent,
// else ErrUnavailable.
func (k call) transportError(connected bool, cause error) error {
	if k.isWrite() && connected {
		return fmt.Errorf("%w: %s %s: %w", ErrOutcomeUnknown, k.method, k.path, cause)
	}
	return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, k.method, k.path, cause)
}

// statusError returns the error for a response status, or nil for 2xx.
func (k call) statusError(status int, body []byte) error {
	sentinel := error(nil)
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusConflict:
		sentinel = ErrConflict
	case status == http.StatusNotFound:
		sentinel = ErrNotFound
	case status == http.StatusRequestEntityTooLarge:
		sentinel = ErrTooLarge
	case status == http.StatusServiceUnavailable:
		sentinel = ErrUnavailable
	case status >= 500 && k.isWrite():
		sentinel = ErrOutcomeUnknown
	case status >= 500:
		sentinel = ErrUnavailable
	default:
		return fmt.Errorf("objectstore: %s %s: status %d: %s", k.method, k.path, status, excerpt(body))
	}
	return fmt.Errorf("%w: %s %s: status %d", sentinel, k.method, k.path, status)
}

func excerpt(body []byte) string {
	const limit = 200
	return strings.TrimSpace(string(body[:min(len(body), limit)]))
}

func objectPath(kind Kind, name string) string {
	return "/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var obj Object
	err := c.do(ctx, call{method: http.MethodGet, path: objectPath(kind, name), timeout: c.timeout}, &obj)
	return obj, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, obj Object) (Object, error) {
	if len(obj.Value) > MaxValueBytes {
		return Object{}, fmt.Errorf("%w: %s/%s: %d bytes", ErrTooLarge, obj.Kind, obj.Name, len(obj.Value))
	}
	return c.writeObject(ctx, call{
		method:  http.MethodPut,
		path:    objectPath(obj.Kind, obj.Name),
		version: &obj.Version,
		body:    obj.Value,
		timeout: c.timeout,
	})
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, version uint64) (Object, error) {
	return c.writeObject(ctx, call{
		method:  http.MethodDelete,
		path:    objectPath(kind, name),
		version: &version,
		timeout: c.timeout,
	})
}

func (c *Client) writeObject(ctx context.Context, k call) (Object, error) {
	var stored Object
	if err := c.do(ctx, k, &stored); err != nil {
		return Object{}, err
	}
	return stored, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind Kind) (List, error) {
	path := "/objects/" + url.PathEscape(string(kind))
	var list List
	err := c.do(ctx, call{method: http.MethodGet, path: path, timeout: c.timeout}, &list)
	return list, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind Kind, since uint64) (List, error) {
	path := "/watch/" + url.PathEscape(string(kind)) + "?since=" + strconv.FormatUint(since, 10)
	var list List
	err := c.do(ctx, call{method: http.MethodGet, path: path, timeout: c.watchTimeout}, &list)
	return list, err
}

// Instances implements InstanceList. If the platform's responses carry entity
// tags, an unchanged list is not transferred again and the cached slice is
// returned, so callers must not modify it.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.instances.mu.Lock()
	etag, cached := c.instances.etag, c.instances.list
	c.instances.mu.Unlock()
	var list []Instance
	err := c.do(ctx, call{method: http.MethodGet, path: "/instances", timeout: c.timeout, etag: &etag}, &list)
	if errors.Is(err, errNotModified) {
		return cached, nil
	}
	if err != nil {
		return nil, err
	}
	c.instances.mu.Lock()
	defer c.instances.mu.Unlock()
	c.instances.etag, c.instances.list = etag, list
	return list, nil
}

// Register implements InstanceList.
func (c *Client) Register(ctx context.Context, inst Instance) error {
	body, err := json.Marshal(inst)
	if err != nil {
		return fmt.Errorf("objectstore: encoding instance %s: %w", inst.Name, err)
	}
	path := "/instances/" + url.PathEscape(inst.Name)
	return c.do(ctx, call{method: http.MethodPut, path: path, body: body, timeout: c.timeout}, nil)
}

// Deregister implements InstanceList.
func (c *Client) Deregister(ctx context.Context, name string) error {
	path := "/instances/" + url.PathEscape(name)
	return c.do(ctx, call{method: http.MethodDelete, path: path, timeout: c.timeout}, nil)
}
