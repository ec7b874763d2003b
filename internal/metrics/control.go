package metrics

import (
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
)

// Control is what one instance spends on control, as totals since its start
// unless said otherwise. All fields of one value belong to one moment.
type Control struct {
	Uptime        time.Duration
	PeerSent      int64 // bytes, both sides of calls together
	PeerReceived  int64
	PeerCalls     int64 // begun by this instance
	PlatformSent  int64 // bytes
	PlatformRecv  int64
	EngineSent    int64 // bytes of reports and orders
	EngineRecv    int64
	EngineCalls   int64
	PlatformCalls map[string]int64 // by operation
	Documents     int              // known now
	Upstreams     int              // of all documents known now
	Instances     int              // listed now
}

// Process is what the process uses.
type Process struct {
	CPU          time.Duration // user and system time since the start
	PeakResident int64         // bytes
	Heap         int64         // bytes of objects, live or not yet collected
	Goroutines   int64
}

const bytesPerKiB = 1024

// ReadProcess returns what this process uses now.
func ReadProcess() Process {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		use = syscall.Rusage{}
	}
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/sched/goroutines:goroutines"}}
	metrics.Read(samples)
	return Process{
		CPU:          time.Duration(use.Utime.Nano() + use.Stime.Nano()),
		PeakResident: use.Maxrss * bytesPerKiB,
		Heap:         int64(samples[0].Value.Uint64()),
		Goroutines:   int64(samples[1].Value.Uint64()),
	}
}

// Control sets the gauges of control and of the process.
func (m *Metrics) Control(c Control, p Process) {
	s := m.root.SubScope("control")
	for name, value := range map[string]float64{
		"uptime_seconds":          c.Uptime.Seconds(),
		"cpu_seconds":             p.CPU.Seconds(),
		"peak_resident_bytes":     float64(p.PeakResident),
		"heap_bytes":              float64(p.Heap),
		"goroutines":              float64(p.Goroutines),
		"peer_sent_bytes":         float64(c.PeerSent),
		"peer_received_bytes":     float64(c.PeerReceived),
		"peer_calls":              float64(c.PeerCalls),
		"platform_sent_bytes":     float64(c.PlatformSent),
		"platform_received_bytes": float64(c.PlatformRecv),
		"engine_sent_bytes":       float64(c.EngineSent),
		"engine_received_bytes":   float64(c.EngineRecv),
		"engine_calls":            float64(c.EngineCalls),
		"documents":               float64(c.Documents),
		"upstreams":               float64(c.Upstreams),
		"instances":               float64(c.Instances),
	} {
		s.Gauge(name).Update(value)
	}
	for op, calls := range c.PlatformCalls {
		platformCalls(s, op).Update(float64(calls))
	}
}

func platformCalls(s tally.Scope, op string) tally.Gauge {
	return s.Tagged(map[string]string{"operation": op}).Gauge("platform_calls")
}
