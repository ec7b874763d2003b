// Package objectstore is the client side of the platform's object store and
// instance list. It defines their wire types and the Store and InstanceList
// interfaces, an HTTP client that implements both, and an in-memory
// implementation for stand-ins and tests. Update changes an object that several
// writers may change concurrently; CallCounter counts the calls to the platform.
package objectstore

import (
	"context"
	"encoding/json"
	"errors"
)

// Kind is a type of object in the object store.
type Kind string

// The kinds of objects that the system stores.
const (
	KindService   Kind = "service" // one configuration document per service
	KindStatus    Kind = "status"  // per zone: document versions in force and rejected documents
	KindLease     Kind = "lease"
	KindShare     Kind = "share"  // zones' shares of organisations' limits
	KindLedger    Kind = "ledger" // memory ledger of one upstream
	KindClaim     Kind = "claim"  // claims on idempotency keys
	KindRecord    Kind = "record" // batches and chain heads of the service record
	KindBudget    Kind = "budget" // zones' shares of the fleet-wide limits on model and adapter loads
	KindHomeZones Kind = "homes"  // zones that must keep a ready replica of each model

	KindConfig   Kind = "config"   // the operators' configuration in one object
	KindUpstream Kind = "upstream" // upstreams, one object each
	KindInstance Kind = "instance" // entry instances, for peer discovery
	KindSoftware Kind = "software" // software versions that each service had lately

	// KindEvacuation: one object for each availability zone whose upstreams get no requests.
	KindEvacuation Kind = "evacuations"
)

// Object is one stored value. Version is taken from a revision counter of the
// whole store, which every write of any object increments. A deleted object
// remains as a tombstone with its own version.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// List is a set of objects as of the store's Revision.
type List struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
	// Malformed are the entries that could not be decoded. They are not among Objects.
	Malformed []Malformed `json:"-"`
}

// Malformed is an entry that could not be decoded.
type Malformed struct {
	Name string // empty if that could not be decoded either
	Err  error
}

// MaxValueBytes is the size of the largest value that the object store accepts,
// in bytes.
const MaxValueBytes = 1 << 20

// Errors of a Store. ErrOutcomeUnknown means that a write may have taken
// effect: the caller must read back before it writes again. ErrHistoryGone means
// that a watch cannot continue from its revision: the caller must list again.
var (
	ErrConflict       = errors.New("platform: version conflict")
	ErrNotFound       = errors.New("platform: object not found")
	ErrUnavailable    = errors.New("platform: object API unavailable")
	ErrOutcomeUnknown = errors.New("objectstore: outcome of the write unknown")
	ErrTooLarge       = errors.New("platform: value too large")
	ErrHistoryGone    = errors.New("objectstore: history gone, list again")
)

// Store is the platform's object store. Implementations are safe for concurrent use.
type Store interface {
	// Get returns one object; a tombstone is returned with Deleted set.
	// It fails with ErrNotFound if the object never existed.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// Put writes obj.Value if the stored version equals obj.Version (0 to
	// create) and returns the object as stored. It fails with ErrConflict if
	// the versions differ.
	Put(ctx context.Context, obj Object) (Object, error)
	// Delete replaces the object by a tombstone if the stored version equals
	// version, and returns the tombstone.
	Delete(ctx context.Context, kind Kind, name string, version uint64) (Object, error)
	// List returns all objects of a kind, tombstones included.
	List(ctx context.Context, kind Kind) (List, error)
	// Watch is a long poll: it returns the objects of the kind whose version
	// is above since as soon as there are any, or an empty list once the
	// server's wait time has passed.
	Watch(ctx context.Context, kind Kind, since uint64) (List, error)
}

// Role is the function of an instance in the fleet.
type Role string

// The roles of instances.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// InstanceState is the lifecycle state of an instance in the instance list.
type InstanceState string

// The states of a listed instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the instance list. Addresses are IP:port.
// Incarnation differs between two runs of an instance under the same name.
type Instance struct {
	Name        string        `json:"name"`
	Incarnation string        `json:"incarnation,omitempty"`
	Zone        string        `json:"zone"`
	Role        Role          `json:"role"`
	Address     string        `json:"address"`
	PeerAddress string        `json:"peer_address,omitempty"`
	State       InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances. It is eventually
// consistent: it may lag behind the actual instances.
type InstanceList interface {
	// Instances returns the live and leaving instances.
	Instances(ctx context.Context) ([]Instance, error)
	// Register adds or replaces the entry of one instance.
	Register(ctx context.Context, inst Instance) error
	// Deregister removes the entry of one instance.
	Deregister(ctx context.Context, name string) error
}
