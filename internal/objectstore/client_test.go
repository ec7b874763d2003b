package objectstore_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/objectapi"
)

// newPlatform starts a stand-in of the platform whose watches wait at most wait.
func newPlatform(t *testing.T, wait time.Duration) (*objectapi.Server, *objectstore.Client) {
	t.Helper()
	s := objectapi.New(objectapi.Options{WatchWait: wait})
	return s, newClient(t, s.Handler())
}

func newClient(t *testing.T, h http.Handler) *objectstore.Client {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	c := objectstore.NewClient(objectstore.ClientOptions{BaseURL: srv.URL})
	t.Cleanup(c.Close)
	return c
}

func object(name, value string, version uint64) objectstore.Object {
	return objectstore.Object{Kind: objectstore.KindLease, Name: name, Version: version, Value: []byte(value)}
}

func TestClientObjects(t *testing.T) {
	ctx := context.Background()
	_, c := newPlatform(t, time.Millisecond)
	const name = "zones/north 1?"

	_, err := c.Get(ctx, objectstore.KindLease, name)
	must.ErrorIs(t, err, objectstore.ErrNotFound)
	stored, err := c.Put(ctx, object(name, `{"holder": "a<b"}`, 0))
	must.NoError(t, err)
	must.Eq(t, `{"holder":"a<b"}`, string(stored.Value))
	_, err = c.Put(ctx, object(name, `2`, 0))
	must.ErrorIs(t, err, objectstore.ErrConflict)
	got, err := c.Get(ctx, objectstore.KindLease, name)
	must.NoError(t, err)
	must.Eq(t, stored, got)

	tombstone, err := c.Delete(ctx, objectstore.KindLease, name, stored.Version)
	must.NoError(t, err)
	must.True(t, tombstone.Deleted)
	list, err := c.List(ctx, objectstore.KindLease)
	must.NoError(t, err)
	must.Eq(t, []objectstore.Object{tombstone}, list.Objects)
}

func TestClientWatch(t *testing.T) {
	ctx := context.Background()
	s, c := newPlatform(t, 50*time.Millisecond)
	empty, err := c.Watch(ctx, objectstore.KindLease, 0)
	must.NoError(t, err)
	must.Len(t, 0, empty.Objects)
	_, err = s.Memory.Put(ctx, object("l", `1`, 0))
	must.NoError(t, err)
	list, err := c.Watch(ctx, objectstore.KindLease, empty.Revision)
	must.NoError(t, err)
	must.Len(t, 1, list.Objects)
}

func TestClientTooLarge(t *testing.T) {
	_, c := newPlatform(t, time.Second)
	value := `"` + string(make([]byte, objectstore.MaxValueBytes)) + `"`
	_, err := c.Put(context.Background(), object("l", value, 0))
	must.ErrorIs(t, err, objectstore.ErrTooLarge)
}

func TestClientOutage(t *testing.T) {
	ctx := context.Background()
	s, c := newPlatform(t, time.Second)
	s.Faults().Update(func(f *fault.Faults) { f.Outage = true })
	_, err := c.Put(ctx, object("l", `1`, 0))
	must.ErrorIs(t, err, objectstore.ErrUnavailable)
	_, err = c.List(ctx, objectstore.KindLease)
	must.ErrorIs(t, err, objectstore.ErrUnavailable)
}

func TestClientLostReply(t *testing.T) {
	ctx := context.Background()
	s, c := newPlatform(t, time.Second)
	s.Faults().Update(func(f *fault.Faults) { f.DropReplies = 1 })
	_, err := c.Put(ctx, object("l", `1`, 0))
	must.ErrorIs(t, err, objectstore.ErrOutcomeUnknown)
	got, err := c.Get(ctx, objectstore.KindLease, "l")
	must.NoError(t, err)
	must.Eq(t, `1`, string(got.Value))
}

func TestClientRefusedConnect(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	c := objectstore.NewClient(objectstore.ClientOptions{BaseURL: srv.URL})
	srv.Close()
	_, err := c.Put(context.Background(), object("l", `1`, 0))
	must.ErrorIs(t, err, objectstore.ErrUnavailable)
}

// TestClientInvalidResponses checks that after a truncated, malformed or missing
// response a write has an unknown outcome and a read is unavailable.
func TestClientInvalidResponses(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"kind":`)
		},
		"not JSON": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{`) },
		"gateway":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
		"silent":   func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	}
	for name, h := range handlers {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(h)
			defer srv.Close()
			c := objectstore.NewClient(objectstore.ClientOptions{BaseURL: srv.URL, Timeout: 100 * time.Millisecond})
			_, err := c.Delete(context.Background(), objectstore.KindLease, "l", 1)
			must.ErrorIs(t, err, objectstore.ErrOutcomeUnknown)
			_, err = c.Get(context.Background(), objectstore.KindLease, "l")
			must.ErrorIs(t, err, objectstore.ErrUnavailable)
		})
	}
}

// TestClientInstancesLag reads the list with a registered instance, then its state
// of an hour ago, when it was empty, and then its state after the removal.
func TestClientInstancesLag(t *testing.T) {
	ctx := context.Background()
	s, c := newPlatform(t, time.Second)
	inst := objectstore.Instance{Name: "e/1", Zone: "north", Role: objectstore.RoleEntry, Address: "127.0.0.1:1", State: objectstore.InstanceLive}
	must.NoError(t, c.Register(ctx, inst))
	list, err := c.Instances(ctx)
	must.NoError(t, err)
	must.Eq(t, []objectstore.Instance{inst}, list)

	s.Faults().Update(func(f *fault.Faults) { f.InstanceLagMS = time.Hour.Milliseconds() })
	must.NoError(t, c.Deregister(ctx, "e/1"))
	list, err = c.Instances(ctx)
	must.NoError(t, err)
	must.Len(t, 0, list)
	s.Faults().Update(func(f *fault.Faults) { f.InstanceLagMS = 0 })
	list, err = c.Instances(ctx)
	must.NoError(t, err)
	must.Len(t, 0, list)
}

// TestInstancesUsesEntityTags reads the list three times after each of three
// changes: with entity tags a full list is sent only once per change, without
// them at each of the nine reads, and the result is the same.
func TestInstancesUsesEntityTags(t *testing.T) {
	for _, tags := range []bool{true, false} {
		ctx := context.Background()
		s := objectapi.New(objectapi.Options{})
		fullResponses := 0
		c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !tags {
				r.Header.Del("If-None-Match")
			}
			rec := httptest.NewRecorder()
			s.Handler().ServeHTTP(rec, r)
			if rec.Code == http.StatusOK && r.Method == http.MethodGet {
				fullResponses++
			}
			if tags {
				w.Header().Set("ETag", rec.Header().Get("ETag"))
			}
			w.WriteHeader(rec.Code)
			_, _ = io.Copy(w, rec.Body)
		}))
		for i, inst := range []objectstore.Instance{{Name: "a"}, {Name: "b"}, {Name: "b", State: objectstore.InstanceLeaving}} {
			must.NoError(t, c.Register(ctx, inst))
			for range 3 {
				list, err := c.Instances(ctx)
				must.NoError(t, err)
				want, err := s.Instances(ctx)
				must.NoError(t, err)
				must.Eq(t, want, list, must.Sprint(tags, i))
			}
		}
		if tags {
			must.Eq(t, 3, fullResponses)
		} else {
			must.Eq(t, 9, fullResponses)
		}
	}
}
