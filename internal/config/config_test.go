package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const validDocument = `{
	"service": "lab",
	"models": [{"name": "m1", "memory_mb": 10, "adapters": [{"name": "a1", "memory_mb": 1}]}],
	"upstreams": [{"name": "u1", "zone": "north", "kind": "engine", "address": "127.0.0.1:1", "memory_mb": 20}],
	"organisations": [{"name": "org", "rate_tokens_per_s": 10, "burst_tokens": 100}],
	"routes": [{"path": "/lookup/", "methods": ["GET"], "idempotent": true}],
}`

func TestParseFillsDefaults(t *testing.T) {
	doc, err := Parse("f", []byte(validDocument))
	must.NoError(t, err)
	must.Eq(t, 1, doc.Models[0].MinReplicas)
	must.Eq(t, StaleServe, doc.Organisations[0].StaleKeys)
	must.Eq(t, int64(DefaultFirstTokenMS), doc.Deadlines.FirstTokenMS)
}

func TestParseRejects(t *testing.T) {
	for _, tc := range []struct{ old, replacement, want string }{
		{`"memory_mb": 10`, `"memory_mb": 0`, "f:3:41: field models/0/memory_mb: want more than 0 MB"},
		{`"memory_mb": 10`, `"memory_mb": 21`, "largest upstream"},
		{`"kind": "engine"`, `"kind": "motor"`, `field upstreams/0/kind: want "engine" or "plain"`},
		{`127.0.0.1:1`, `host:1`, "want IP:port"},
		{`"burst_tokens": 100`, `"burst_token": 100`, `did you mean "burst_tokens"?`},
		{`"idempotent": true`, `"open": true`, `want an organisation "open"`},
		{`["GET"]`, `["FETCH"]`, "field routes/0/methods/0"},
		{`"m1"`, `"M 1"`, "field models/0/name"},
	} {
		_, err := Parse("f", []byte(strings.Replace(validDocument, tc.old, tc.replacement, 1)))
		must.ErrorContains(t, err, tc.want)
	}
}

func object(version uint64, value string) objectstore.Object {
	return objectstore.Object{Kind: objectstore.KindService, Name: "lab", Version: version, Value: []byte(value)}
}

func TestRejectedVersionLeavesPreviousInForce(t *testing.T) {
	s := NewSet()
	must.Eq(t, ResultAccepted, s.Offer(object(1, validDocument)))
	must.Eq(t, ResultRejected, s.Offer(object(2, `{"service": "lab", "modles": []}`)))
	must.Eq(t, 1, s.Versions()["lab"])
	must.Eq(t, "modles", s.Rejected()[0].Err.Field)
	must.Eq(t, ResultNotNewer, s.Offer(object(1, validDocument)))
	must.Eq(t, ResultAccepted, s.Offer(object(3, validDocument)))
	must.Len(t, 0, s.Rejected())
}

func TestOlderVersionIsAcceptedAfterRejectedOne(t *testing.T) {
	s := NewSet()
	must.Eq(t, ResultRejected, s.Offer(object(2, `{}`)))
	must.Eq(t, ResultAccepted, s.Offer(object(1, validDocument)))
	must.Eq(t, ResultNotNewer, s.Offer(object(2, `{}`)))
	must.Eq(t, 1, s.Versions()["lab"])
}

// TestSetsConvergeAndNeverRevert offers edits, deletions and invalid documents to
// several sets in any order and any number of times, and exchanges documents
// between the sets: no accepted version decreases, and after all sets have
// exchanged documents each holds the newest valid version.
func TestSetsConvergeAndNeverRevert(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		objects, newest := drawObjects(t)
		sets := []*Set{NewSet(), NewSet(), NewSet()}
		offer := func(s *Set, f func()) {
			before := s.Versions()["lab"]
			f()
			must.GreaterEq(t, before, s.Versions()["lab"])
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			s := rapid.SampledFrom(sets).Draw(t, "set")
			if rapid.Bool().Draw(t, "from platform") {
				obj := rapid.SampledFrom(objects).Draw(t, "object")
				offer(s, func() { s.Offer(obj) })
				continue
			}
			from := rapid.SampledFrom(sets).Draw(t, "peer")
			offer(s, func() { exchange(from, s) })
		}
		for _, obj := range objects {
			sets[0].Offer(obj)
		}
		exchange(sets[0], sets[1])
		exchange(sets[1], sets[2])
		for _, s := range sets {
			must.Eq(t, newest, s.Versions()["lab"])
			must.Eq(t, sets[0].Hash(), s.Hash())
		}
	})
}

// exchange offers to one set all versions of another that it lacks.
func exchange(from, to *Set) {
	for _, a := range from.NewerThan(to.Versions()) {
		to.OfferAccepted(a)
	}
}

// drawObjects returns up to 6 versions of one object and the newest valid version.
func drawObjects(t *rapid.T) (objects []objectstore.Object, newest uint64) {
	for v := uint64(1); v <= uint64(rapid.IntRange(1, 6).Draw(t, "versions")); v++ {
		obj := object(v, validDocument)
		switch rapid.IntRange(0, 3).Draw(t, fmt.Sprint("kind of ", v)) {
		case 0:
			obj.Value = []byte(`{"service": 1}`)
		case 1:
			obj.Deleted = true
			newest = v
		default:
			newest = v
		}
		objects = append(objects, obj)
	}
	return objects, newest
}
