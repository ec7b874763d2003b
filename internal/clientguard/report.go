package clientguard

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/bodybudget"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

const (
	// reportInterval is the interval between log lines on rejected clients.
	reportInterval = 5 * time.Second
	// maxSources bounds the addresses that are counted in one interval.
	maxSources = 256
	// loggedSources is the number of addresses that a log line names.
	loggedSources = 4
)

// reason is why a client is rejected.
type reason uint8

const (
	reasonNone reason = iota
	reasonMemory
	reasonConnections
	reasonHead
	reasonSlow
	reasonTooLarge
	reasonUnread
	numReasons
)

func (r reason) String() string {
	return [...]string{"none", "memory", "connections", "head", "slow_body", "too_large", "unread"}[r]
}

// answer returns the answer to a client that is rejected before its request was read.
func (r reason) answer() string {
	status, extra := http.StatusServiceUnavailable, "Retry-After: 1\r\n"
	if r == reasonHead {
		status, extra = http.StatusRequestHeaderFieldsTooLarge, ""
	}
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + extra + "Connection: close\r\nContent-Length: 0\r\n\r\n"
}

// report counts what was rejected since the last log line.
type report struct {
	groups  []*bodybudget.Group
	reasons [numReasons]int
	sources map[string]int // by address without port
}

func newReport() report { return report{sources: map[string]int{}} }

// reject counts a rejected client.
func (g *Guard) reject(why reason, from net.Addr) {
	g.opts.Metrics.Count("clients_rejected_" + why.String())
	source := "unknown"
	if from != nil {
		source = from.String()
		if host, _, err := net.SplitHostPort(source); err == nil {
			source = host
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.reasons[why]++
	if _, known := g.report.sources[source]; !known && len(g.report.sources) >= maxSources {
		source = "other"
	}
	g.report.sources[source]++
}

// Run sets the gauges and logs until ctx ends how many clients were rejected, why, and from
// where most of them came: at most one line each reportInterval.
func (g *Guard) Run(ctx context.Context) error {
	for wait.Sleep(ctx, reportInterval) {
		g.logReport()
	}
	return nil
}

func (g *Guard) logReport() {
	g.mu.Lock()
	last := g.report
	g.report = newReport()
	g.report.groups = last.groups
	used, connections := g.budget.Used(), 0
	for _, group := range last.groups {
		connections += group.Len()
	}
	g.mu.Unlock()
	g.opts.Metrics.SetGauge("client_memory_bytes", float64(used))
	g.opts.Metrics.SetGauge("client_connections", float64(connections))
	var attrs []slog.Attr
	for why, n := range last.reasons {
		if n > 0 {
			attrs = append(attrs, slog.Int(reason(why).String(), n))
		}
	}
	if len(attrs) == 0 {
		return
	}
	attrs = append(attrs, slog.String("sources", topSources(last.sources)), slog.Int64("memory_bytes", used),
		slog.Int64("memory_limit_bytes", g.budget.Limit()), slog.Int("connections", connections))
	g.opts.Log.LogAttrs(context.Background(), slog.LevelWarn, "clients rejected", attrs...)
}

// topSources returns the addresses with the most rejections, as address=number pairs
// separated by blanks.
func topSources(sources map[string]int) string {
	names := slices.SortedFunc(maps.Keys(sources), func(a, b string) int {
		return cmp.Or(cmp.Compare(sources[b], sources[a]), cmp.Compare(a, b))
	})
	var b strings.Builder
	for i, name := range names[:min(len(names), loggedSources)] {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(name + "=" + strconv.Itoa(sources[name]))
	}
	return b.String()
}
