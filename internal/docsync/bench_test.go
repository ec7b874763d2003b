package docsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/heaptest"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"google.golang.org/protobuf/proto"
)

// fleetSize is the size of a fleet for a benchmark. Nodes are entry instances,
// servers are upstreams.
type fleetSize struct {
	nodes, servers, zones, documents int
}

var fleetSizes = []fleetSize{{6, 12, 3, 20}, {100, 550, 5, 125}, {400, 2200, 19, 500}}

func (s fleetSize) String() string {
	return fmt.Sprintf("nodes=%d/servers=%d/documents=%d", s.nodes, s.servers, s.documents)
}

// instances returns the platform's list: nodes entry instances, then servers
// upstreams.
func (s fleetSize) instances() []objectstore.Instance {
	var list []objectstore.Instance
	for i := range s.nodes + s.servers {
		role := objectstore.RoleEntry
		if i >= s.nodes {
			role = objectstore.RoleUpstream
		}
		list = append(list, objectstore.Instance{
			Name: fmt.Sprintf("instance-%05d", i), Incarnation: fmt.Sprintf("0b8f4f5e-9a71-4c35-8f0a-%012d", i),
			Zone: fmt.Sprintf("zone-%d", i%s.zones), Role: role, State: objectstore.InstanceLive,
			Address: fmt.Sprintf("10.%d.%d.1:7200", i/250, i%250), PeerAddress: fmt.Sprintf("10.%d.%d.1:7300", i/250, i%250),
		})
	}
	return list
}

// state returns the state of the instance with index self, which knows all
// documents and instances.
func (s fleetSize) state(self int) *State {
	list := s.instances()
	st := NewState(list[self])
	var docs objectstore.List
	for i := range s.documents {
		name := fmt.Sprintf("service-%d", i)
		docs.Objects = append(docs.Objects, objectstore.Object{
			Kind: objectstore.KindService, Name: name, Version: uint64(i + 1), Value: fmt.Appendf(nil, document, name, i+1),
		})
	}
	docs.Revision = uint64(s.documents)
	st.ApplyDocuments(0, docs)
	st.ApplyInstances(0, 0, list)
	return st
}

// BenchmarkExchange measures an exchange between two instances with equal data,
// with each message encoded once.
func BenchmarkExchange(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			from, to := s.state(0), s.state(s.zones)
			now, wire := time.Second, 0
			b.ReportAllocs()
			for b.Loop() {
				now += time.Millisecond
				req := from.NewRequest(now)
				reply, _ := to.HandleRequest(now, req)
				from.HandleReply(now, now, req, reply)
				wire = encoded(b, req) + encoded(b, reply)
			}
			b.ReportMetric(float64(wire), "wire-B/op")
		})
	}
}

// BenchmarkDocumentPush measures the push of one changed document of 4 KB.
func BenchmarkDocumentPush(b *testing.B) {
	from, to := fleetSizes[2].state(0), fleetSizes[2].state(fleetSizes[2].zones)
	wire := 0
	b.ReportAllocs()
	for i := uint64(1000); b.Loop(); i++ {
		raw := largeDocument(int(i))
		req := from.NewPushRequest(time.Second, []config.Accepted{{Service: "service-0", Version: i, Raw: raw}})
		reply, c := to.HandleRequest(time.Second, req)
		if len(c.Accepted) != 1 {
			b.Fatal("document not accepted")
		}
		wire = encoded(b, req) + encoded(b, reply)
	}
	b.ReportMetric(float64(wire), "wire-B/op")
}

func largeDocument(rate int) []byte {
	doc := fmt.Appendf(nil, `{"service": "service-0", "organisations": [`)
	for i := 0; len(doc) < 4096-80; i++ {
		doc = fmt.Appendf(doc, `{"name": "organisation-%d", "rate_tokens_per_s": %d, "burst_tokens": 1},`, i, rate)
	}
	return fmt.Append(doc[:len(doc)-1], "]}")
}

// BenchmarkListChange measures the exchange by which an instance learns one
// changed entry of the instance list from a peer.
func BenchmarkListChange(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			from, to := s.state(0), s.state(s.zones)
			list := s.instances()
			now, wire := time.Second, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Second
				list = append([]objectstore.Instance(nil), list...)
				list[len(list)-1].Incarnation = fmt.Sprint("other-", i)
				to.ApplyInstances(now, now, list)
				wire = 0
				req := from.NewRequest(now)
				for round := 0; req != nil && round < maxRounds; round++ {
					reply, _ := to.HandleRequest(now, req)
					wire += encoded(b, req) + encoded(b, reply)
					req, _ = from.HandleReply(now, now, req, reply)
				}
				if from.view.List().Hash != to.view.List().Hash {
					b.Fatal("the instance lists differ after the exchange")
				}
			}
			b.ReportMetric(float64(wire), "wire-B/op")
		})
	}
}

func encoded(b *testing.B, m proto.Message) int {
	raw, err := proto.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	return len(raw)
}

// BenchmarkReplicaHeap measures the heap that the documents, members and instance
// list of one instance use.
func BenchmarkReplicaHeap(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) { heaptest.Report(b, func() *State { return s.state(0) }) })
	}
}

// BenchmarkDocumentExchange measures the exchange by which an instance learns one
// changed document without a push.
func BenchmarkDocumentExchange(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			from, to := s.state(0), s.state(s.zones)
			wire := 0
			for i := uint64(1000); b.Loop(); i++ {
				to.set.OfferAccepted(config.Accepted{Service: "service-0", Version: i, Raw: largeDocument(int(i))})
				wire = 0
				req := from.NewRequest(time.Second)
				for round := 0; req != nil && round < maxRounds; round++ {
					reply, _ := to.HandleRequest(time.Second, req)
					wire += encoded(b, req) + encoded(b, reply)
					req, _ = from.HandleReply(time.Second, time.Second, req, reply)
				}
			}
			b.ReportMetric(float64(wire), "wire-B/op")
		})
	}
}
