package fleet

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Other HTTP clients write the host and the path in equivalent forms (DENIED).
func TestEquivalentRequestsMatchTheSameRoute(t *testing.T) {
	c := &Config{Routes: []*Route{{Host: "h.example", PathPrefix: "/read/"}, {Host: "other.example", PathPrefix: "/~a%2Fb/"}, {Host: "[::1]", PathPrefix: "/"}}}
	c.Index()
	for _, host := range []string{"h.example", "h.example:8300", "H.Example", "h.example.", "H.EXAMPLE.:80", "h.example:"} {
		for _, path := range []string{"/read/", "/read/x", "/%72ead/x", "/rea%64/%2F", "/%72%65%61%64/"} {
			must.EqOp(t, c.Routes[0], c.Route(host, path), must.Sprint(host, path))
		}
	}
	must.EqOp(t, c.Routes[1], c.Route("other.example", "/%7Ea%2Fb/c"))
	must.EqOp(t, c.Routes[2], c.Route("[::1]:80", "/"))
	must.EqOp(t, c.Routes[2], c.Route("[::1]", "/"))
	for _, path := range []string{"/read", "/read%2Fx", "/READ/", "/rea%6", "/%", "/read%", "/a/../read/"} {
		must.Nil(t, c.Route("h.example", path), must.Sprint(path))
	}
	must.EqOp(t, c.Routes[1], c.Route("other.example", "/~a%2fb/c"))
	must.Nil(t, c.Route("x.example", "/read/"))
	must.Nil(t, c.Route("", "/read/"))
}

// A prefix with escapes hid one that is longer, and one without did not match its requests.
func TestPrefixesMatchInEquivalentForms(t *testing.T) {
	c := &Config{Routes: []*Route{
		{Host: "H.example.", PathPrefix: "/%61/"}, {Host: "h.example:80", PathPrefix: "/a/b/"}, {Host: "h.example", PathPrefix: "/caf\u00e9 1/"}, {Host: "h.example", PathPrefix: "/100%/"},
	}}
	c.Index()
	for path, want := range map[string]*Route{
		"/a/x": c.Routes[0], "/a/b/x": c.Routes[1], "/%61/%62/": c.Routes[1], "/caf%C3%A9%201/x": c.Routes[2], "/caf%c3%a9%201/": c.Routes[2], "/cafe%201/": nil, "/100%/x": c.Routes[3],
	} {
		must.EqOp(t, want, c.Route("h.example", path), must.Sprint(path))
	}
}
