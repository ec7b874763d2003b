package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// scrape closes m, which flushes it, and returns the body that the handler serves.
func scrape(t *testing.T, m *Metrics) string {
	must.NoError(t, m.Close())
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	return rec.Body.String()
}

func TestHistogramPerOrganisationAndClass(t *testing.T) {
	m := New()
	m.Flow("s/a", "live").TimeToFirstToken(7 * time.Millisecond)
	m.Flow("s/a", "live").RequestEnded("ok", time.Second, 12)
	m.Count("foreign_answers")
	text := scrape(t, m)
	must.StrContains(t, text, `eelgrass_first_token_seconds_bucket{class="live",organisation="s/a",le="0.01"} 1`)
	must.StrContains(t, text, `eelgrass_requests{class="live",code="ok",organisation="s/a"} 1`)
	must.StrContains(t, text, "eelgrass_foreign_answers 1")
}

func TestNamesDifferingInPunctuationAreDistinct(t *testing.T) {
	m := New()
	for _, name := range []string{"s/a-b", "s/a_b", "s/a.b"} {
		m.Flow(name, "live").RequestEnded("ok", 0, 0)
	}
	must.Eq(t, 3, strings.Count(scrape(t, m), "eelgrass_requests{"))
}

func TestOrganisationLabelIsBounded(t *testing.T) {
	m := New()
	for i := range 2 * maxOrganisations {
		m.Flow(fmt.Sprint("s/", i), "live").RequestEnded("ok", 0, 0)
	}
	text := scrape(t, m)
	must.Eq(t, maxOrganisations+1, strings.Count(text, "eelgrass_requests{"))
	must.StrContains(t, text, fmt.Sprintf(`organisation=%q} %d`, OtherOrganisations, maxOrganisations))
}
