package gateway

import (
	"sync"

	"github.com/eelgrassbay/eelgrassbay/internal/eventstream"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// numberings is what the streams of each service have shown of their events' numbers since the
// instance began. The zero value knows nothing.
type numberings struct {
	mu       sync.Mutex
	services map[string]*eventstream.Numbering
}

// steps returns what is known of a service.
func (n *numberings) steps(service string) eventstream.Steps {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.services[service]; s != nil {
		return s.Steps()
	}
	return eventstream.Steps{}
}

// learn learns from a stream of a service that has ended.
func (n *numberings) learn(service string, o *eventstream.Order) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.services[service]
	if s == nil {
		if n.services == nil {
			n.services = map[string]*eventstream.Numbering{}
		}
		s = &eventstream.Numbering{}
		n.services[service] = s
	}
	s.Learn(o)
}

// learnNumbering learns from the request's stream, if it is one.
func (x *exchange) learnNumbering() {
	if x.route.Kind == fleet.KindStream {
		x.g.numberings.learn(x.service, &x.rec.stream.order)
	}
}
