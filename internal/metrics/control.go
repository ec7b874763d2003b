package metrics

import (
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
)

// ControlPlane is the control-plane overhead of one instance, as totals since its
// start unless stated otherwise. All fields of one value are read at one time.
type ControlPlane struct {
	Uptime        time.Duration
	PeerSent      int64 // bytes, as client and as server of calls
	PeerReceived  int64
	PeerCalls     int64 // calls made by this instance
	PlatformSent  int64 // bytes
	PlatformRecv  int64
	EngineSent    int64 // bytes of reports and orders
	EngineRecv    int64
	EngineCalls   int64
	PlatformCalls map[string]int64 // by operation
	Documents     int              // current number
	Upstreams     int              // current number in all documents
	Instances     int              // current number in the instance list
}

// Process is the resource usage of the process.
type Process struct {
	CPU          time.Duration // user and system time since the start
	PeakResident int64         // bytes
	Heap         int64         // bytes of objects, live ones and those not yet collected
	Goroutines   int64
}

const bytesPerKiB = 1024

// ReadProcess returns the current resource usage of this process.
func ReadProcess() Process {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		usage = syscall.Rusage{}
	}
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/sched/goroutines:goroutines"}}
	metrics.Read(samples)
	return Process{
		CPU:          time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		PeakResident: usage.Maxrss * bytesPerKiB,
		Heap:         int64(samples[0].Value.Uint64()),
		Goroutines:   int64(samples[1].Value.Uint64()),
	}
}

// SetControlPlane sets the gauges of the control-plane overhead and of the process.
func (m *Metrics) SetControlPlane(c ControlPlane, p Process) {
	scope := m.root.SubScope("control")
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
		scope.Gauge(name).Update(value)
	}
	for op, calls := range c.PlatformCalls {
		platformCallsGauge(scope, op).Update(float64(calls))
	}
}

func platformCallsGauge(scope tally.Scope, op string) tally.Gauge {
	return scope.Tagged(map[string]string{"operation": op}).Gauge("platform_calls")
}
