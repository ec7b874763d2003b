// Package placement decides which model engine holds which models.
//
// In each zone the holder of the zone's placement lease plans for the zone's
// own upstreams: a Planner takes an Input and returns Moves. Two records in the
// platform constrain it: the ledger of each upstream (package ledger) bounds
// memory, and HomeZones lists the home zones of each model and keeps at least
// one. A home zone of a model has to keep a ready replica of it. The planner
// only proposes moves; a move that a record refuses is not carried out.
//
// The package does no I/O and reads no clock: the same input gives the same
// moves.
package placement

import "time"

// ReplicaState is the state of a replica according to its ledger.
type ReplicaState int

// The states of a replica. Ready means that the engine reports it ready and no
// order that may still arrive would unload it. A replica is Unloading from the
// time at which an Unload move is accepted.
const (
	Loading ReplicaState = iota
	Ready
	Unloading
)

// Model is the state of one model from the view of one zone.
type Model struct {
	Name     string
	MemoryMB int64
	// MinReplicas is the number of replicas to keep in the fleet as far as
	// memory allows, spread over different zones first. Values below 1 mean 1.
	MinReplicas int
	// MaxReplicas is the maximum number of replicas in the fleet; 0 means no
	// limit.
	MaxReplicas int
	// Fast and Slow are averages of the demand on this zone, in accelerators:
	// accelerator seconds needed to serve the requests of one second.
	Fast float64
	Slow float64
	// IsHome is set if the zone is, or may be, a home zone (see HomeZonesView).
	IsHome bool
	// Lost is set if the zone is recorded as a lost home zone.
	Lost bool
	// HomesElsewhere is the number of other home zones that are reachable. It is
	// zero while the record or the other zones cannot be reached.
	HomesElsewhere int
	// UnchangedFor is the time since HomesElsewhere or IsHome last changed.
	UnchangedFor time.Duration
	// Idle is the time since the last request in this zone.
	Idle time.Duration
}

// Replica is a copy of one model on one upstream.
type Replica struct {
	Model    int // index in Input.Models
	State    ReplicaState
	Draining bool // the router sends it no new requests
	InFlight int
	Age      time.Duration // time since its load was ordered
}

// Upstream is one model engine with one accelerator.
type Upstream struct {
	Name string
	// MemoryMB is the memory for models, without that for adapters and the KV
	// cache.
	MemoryMB int64
	// CommittedMB is the worst-case memory use according to its ledger.
	CommittedMB int64
	Live        bool
	Replicas    []Replica
}

// Input is what the holder of one zone's placement lease knows. It plans only
// once it has claimed the record of home zones and the ledgers; models of a
// shard and upstreams of a ledger that it has not claimed are omitted.
type Input struct {
	Zone string
	// LiveZones are the live and reachable zones including this one, sorted
	// by name.
	LiveZones []string
	// AllZones are the zones that may hold the models according to the
	// configuration document, live or not. Empty means LiveZones.
	AllZones  []string
	Models    []Model
	Upstreams []Upstream
	// LoadBudget is the number of loads that may start now under the zone's share
	// of the fleet-wide limits on loads from the weight store.
	LoadBudget int
}

// MoveKind is the kind of a move.
type MoveKind int

// The kinds of moves. Load and Unload change an upstream's wanted set; Drain
// and Resume change whether the router sends new requests to a replica; the
// others change this zone's entry in the record of home zones: Designate adds
// it, RemoveHome removes it while another home zone remains.
const (
	Load MoveKind = iota
	Unload
	Drain
	Resume
	Designate
	RemoveHome
	MarkLost
	Forget // the model was deleted: removes the entry even if it is the last
)

func (k MoveKind) String() string {
	return [...]string{"load", "unload", "drain", "resume", "designate", "retire", "mark lost", "forget"}[k]
}

// Move is one step of a plan. Upstream is empty for changes of the record of
// home zones.
type Move struct {
	Kind     MoveKind
	Model    string
	Upstream string
	Reason   string
}

// Planner is a placement policy.
type Planner interface {
	// Plan returns the moves that can start now. It keeps no state between
	// calls.
	Plan(in Input) []Move
}
