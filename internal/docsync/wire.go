package docsync

import (
	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
)

func instanceToWire(i objectstore.Instance) *peerpb.Instance {
	return &peerpb.Instance{
		Name: i.Name, Incarnation: i.Incarnation, Zone: i.Zone, Role: string(i.Role),
		Address: i.Address, PeerAddress: i.PeerAddress, State: string(i.State),
	}
}

func instanceFromWire(i *peerpb.Instance) objectstore.Instance {
	return objectstore.Instance{
		Name: i.Name, Incarnation: i.Incarnation, Zone: i.Zone, Role: objectstore.Role(i.Role),
		Address: i.Address, PeerAddress: i.PeerAddress, State: objectstore.InstanceState(i.State),
	}
}

func instancesToWire(list []objectstore.Instance) []*peerpb.Instance {
	wire := make([]*peerpb.Instance, len(list))
	for i, inst := range list {
		wire[i] = instanceToWire(inst)
	}
	return wire
}

func instancesFromWire(wire []*peerpb.Instance) []objectstore.Instance {
	list := make([]objectstore.Instance, len(wire))
	for i, inst := range wire {
		list[i] = instanceFromWire(inst)
	}
	return list
}

func documentsToWire(docs []config.Accepted) []*peerpb.Document {
	wire := make([]*peerpb.Document, len(docs))
	for i, d := range docs {
		wire[i] = &peerpb.Document{Service: d.Service, Version: d.Version, Deleted: d.Deleted, Raw: d.Raw}
	}
	return wire
}
