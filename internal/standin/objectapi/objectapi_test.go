package objectapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
)

// api calls the handler of a Server without a socket.
type api struct {
	t       *testing.T
	server  *Server
	handler http.Handler
}

func newAPI(t *testing.T, opts Options) api {
	t.Helper()
	s := New(opts)
	return api{t: t, server: s, handler: s.Handler()}
}

// call returns the status and body. Status 0 means that the connection was closed
// without a response.
func (a api) call(method, path, ifMatch, body string) (status int, answer string) {
	a.t.Helper()
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if ifMatch != "" {
		req.Header.Set(objectstore.HeaderIfMatch, ifMatch)
	}
	w := httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			must.Eq(a.t, any(http.ErrAbortHandler), r)
			status, answer = 0, ""
		}
	}()
	a.handler.ServeHTTP(w, req)
	text, err := io.ReadAll(w.Body)
	must.NoError(a.t, err)
	return w.Code, string(text)
}

func (a api) list(path string) objectstore.List {
	a.t.Helper()
	status, body := a.call(http.MethodGet, path, "", "")
	must.Eq(a.t, http.StatusOK, status)
	var l objectstore.List
	must.NoError(a.t, json.Unmarshal([]byte(body), &l))
	return l
}

func TestWritesAreConditional(t *testing.T) {
	a := newAPI(t, Options{})
	for _, tc := range []struct {
		method, ifMatch, body string
		want                  int
	}{
		{http.MethodGet, "", "", http.StatusNotFound},
		{http.MethodPut, "", "{}", http.StatusBadRequest},
		{http.MethodPut, "x", "{}", http.StatusBadRequest},
		{http.MethodPut, "1", "{}", http.StatusConflict},
		{http.MethodPut, "0", "no JSON", http.StatusBadRequest},
		{http.MethodPut, "0", strings.Repeat(" ", objectstore.MaxValueBytes+1), http.StatusRequestEntityTooLarge},
		{http.MethodPut, "0", `{"a": 1}`, http.StatusOK},
		{http.MethodPut, "0", `{"a": 2}`, http.StatusConflict},
		{http.MethodDelete, "0", "", http.StatusConflict},
		{http.MethodDelete, `"1"`, "", http.StatusOK}, // the version may be quoted as an entity tag
		{http.MethodGet, "", "", http.StatusOK},
		{http.MethodPost, "", "", http.StatusMethodNotAllowed},
	} {
		status, body := a.call(tc.method, "/objects/lease/x", tc.ifMatch, tc.body)
		must.Eq(t, tc.want, status, must.Sprintf("%s %q %s", tc.method, tc.ifMatch, body))
	}
	must.Eq(t, objectstore.List{Revision: 2, Objects: []objectstore.Object{
		{Kind: "lease", Name: "x", Version: 2, Deleted: true},
	}}, a.list("/objects/lease"))
	must.Len(t, 0, a.list("/objects/share").Objects)
}

func TestWatchWaitsForAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 5 * time.Second
		a := newAPI(t, Options{WatchWait: wait})
		start := time.Now()
		must.Len(t, 0, a.list("/watch/lease?since=0").Objects)
		must.Eq(t, wait, time.Since(start))

		time.AfterFunc(time.Second, func() { a.call(http.MethodPut, "/objects/lease/x", "0", "{}") })
		start = time.Now()
		must.Len(t, 1, a.list("/watch/lease?since=0").Objects)
		must.Eq(t, time.Second, time.Since(start))

		status, _ := a.call(http.MethodGet, "/watch/lease?since=x", "", "")
		must.Eq(t, http.StatusBadRequest, status)
		_, calls := a.call(http.MethodGet, "/calls", "", "")
		must.StrContains(t, calls, `"watch":2`)
	})
}

func TestFaultsOfThePlatform(t *testing.T) {
	a := newAPI(t, Options{})
	faults := func(body string) {
		status, text := a.call(http.MethodPost, fault.Path, "", body)
		must.Eq(t, http.StatusOK, status, must.Sprint(text))
	}
	faults(`{"lose_replies": 1}`)
	status, _ := a.call(http.MethodPut, "/objects/lease/x", "0", `{"a":1}`)
	must.Eq(t, 0, status)
	must.Len(t, 1, a.list("/objects/lease").Objects) // the write took effect although its reply was lost
	_, view := a.call(http.MethodGet, fault.Path, "", "")
	must.StrContains(t, view, `"lose_replies":0`)

	faults(`{"outage": true}`)
	for _, path := range []string{"/objects/lease/x", "/objects/lease", "/watch/lease?since=0", "/instances"} {
		status, _ := a.call(http.MethodGet, path, "", "")
		must.Eq(t, http.StatusServiceUnavailable, status, must.Sprint(path))
	}
	status, _ = a.call(http.MethodPut, "/objects/lease/x", "1", "{}")
	must.Eq(t, http.StatusServiceUnavailable, status)
	faults(`{"outage": false}`)
	must.Eq(t, 1, a.list("/objects/lease").Revision) // the outage changed nothing
}

func TestInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAPI(t, Options{InstanceLag: time.Second})
		put := func(state objectstore.InstanceState) {
			body := fmt.Sprintf(`{"name": "ignored", "state": %q}`, state)
			status, _ := a.call(http.MethodPut, "/instances/e1", "", body)
			must.Eq(t, http.StatusOK, status)
		}
		shown := func() string {
			_, body := a.call(http.MethodGet, "/instances", "", "")
			var list []objectstore.Instance
			must.NoError(t, json.Unmarshal([]byte(body), &list))
			if len(list) == 0 {
				return ""
			}
			return list[0].Name + " " + string(list[0].State)
		}
		put(objectstore.InstanceLive)
		must.Eq(t, "", shown())
		time.Sleep(time.Second)
		must.Eq(t, "e1 live", shown())
		put(objectstore.InstanceLeaving)
		time.Sleep(time.Second / 2)
		must.Eq(t, "e1 live", shown())
		_, _ = a.call(http.MethodDelete, "/instances/e1", "", "")
		time.Sleep(time.Second / 2)
		must.Eq(t, "e1 leaving", shown())
		time.Sleep(time.Second / 2)
		must.Eq(t, "", shown())
	})
}
