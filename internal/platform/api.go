// Package platform talks to the services that the platform gives: the object
// API and the instance list. It owns their wire types, the client, and an
// in-memory implementation that stand-ins and tests share.
package platform

import (
	"context"
	"encoding/json"
	"errors"
)

// Kind is a class of objects in the object API.
type Kind string

// The kinds that the system keeps in the object API.
const (
	KindService Kind = "service" // one configuration document per service
	KindStatus  Kind = "status"  // what became of a document
	KindLease   Kind = "lease"
	KindShare   Kind = "share"  // zones' shares of organisations' limits
	KindLedger  Kind = "ledger" // memory ledger of one upstream
	KindClaim   Kind = "claim"  // claims on idempotency keys
	KindRecord  Kind = "record" // batches or chain heads of the service record
	KindBudget  Kind = "budget" // fleet-wide shares of the weight store
	KindHomes   Kind = "homes"  // zones that are bound to keep each model

	KindConfig   Kind = "config"   // the operators' configuration in one object
	KindUpstream Kind = "upstream" // upstreams, each by its own entry
	KindInstance Kind = "instance" // entry instances, for peers to find them
)

// Object is one stored value. Version comes from one revision counter for the
// whole store, so it grows with every write of any object. A deleted object
// stays as a tombstone with a version of its own.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// List is a set of objects as of Revision.
type List struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// MaxValueBytes is the largest value that the object API takes.
const MaxValueBytes = 1 << 20

// Errors of a Store. ErrOutcomeUnknown means that a write may have taken
// effect: the caller reads back before it writes again.
var (
	ErrConflict       = errors.New("platform: version conflict")
	ErrNotFound       = errors.New("platform: object not found")
	ErrUnavailable    = errors.New("platform: object API unavailable")
	ErrOutcomeUnknown = errors.New("platform: outcome of the write unknown")
	ErrTooLarge       = errors.New("platform: value too large")
	ErrHistoryGone    = errors.New("platform: history gone, list again")
)

// Store is the object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns one object; a tombstone is returned with Deleted set.
	// It fails with ErrNotFound if the object never existed.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// Put writes obj.Value if the stored version equals obj.Version (0 to
	// create) and returns the object as stored. It fails with ErrConflict.
	Put(ctx context.Context, obj Object) (Object, error)
	// Delete leaves a tombstone if the stored version equals version.
	Delete(ctx context.Context, kind Kind, name string, version uint64) (Object, error)
	// List returns all objects of a kind, tombstones included.
	List(ctx context.Context, kind Kind) (List, error)
	// Watch waits until an object of the kind has a version above since, or
	// until the server's wait ends, and returns the objects changed.
	Watch(ctx context.Context, kind Kind, since uint64) (List, error)
}

// Role is what an instance does.
type Role string

// The roles of instances.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// InstanceState is the state that the instance list shows.
type InstanceState string

// The states of a listed instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the instance list. Addresses are IP:port.
// Incarnation differs between two runs under one name.
type Instance struct {
	Name        string        `json:"name"`
	Incarnation string        `json:"incarnation,omitempty"`
	Zone        string        `json:"zone"`
	Role        Role          `json:"role"`
	Address     string        `json:"address"`
	PeerAddress string        `json:"peer_address,omitempty"`
	State       InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances. It lags.
type InstanceList interface {
	// Instances returns the live and leaving instances.
	Instances(ctx context.Context) ([]Instance, error)
	// Register adds or replaces the entry of one instance.
	Register(ctx context.Context, inst Instance) error
	// Deregister removes the entry of one instance.
	Deregister(ctx context.Context, name string) error
}
