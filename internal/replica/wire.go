package replica

import (
	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

func instanceToWire(i platform.Instance) *peerpb.Instance {
	return &peerpb.Instance{
		Name: i.Name, Incarnation: i.Incarnation, Zone: i.Zone, Role: string(i.Role),
		Address: i.Address, PeerAddress: i.PeerAddress, State: string(i.State),
	}
}

func instanceFromWire(i *peerpb.Instance) platform.Instance {
	return platform.Instance{
		Name: i.Name, Incarnation: i.Incarnation, Zone: i.Zone, Role: platform.Role(i.Role),
		Address: i.Address, PeerAddress: i.PeerAddress, State: platform.InstanceState(i.State),
	}
}

func instancesToWire(list []platform.Instance) []*peerpb.Instance {
	wire := make([]*peerpb.Instance, len(list))
	for i, inst := range list {
		wire[i] = instanceToWire(inst)
	}
	return wire
}

func instancesFromWire(wire []*peerpb.Instance) []platform.Instance {
	list := make([]platform.Instance, len(wire))
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
