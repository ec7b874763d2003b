// Package placement decides which model engine holds which models.
//
// The duty holder of each zone plans for its own zone's upstreams. Two records
// in the platform bind it: the ledger of each upstream (package ledger), which
// bounds memory, and Homes, which keeps every model at one home or more. The
// planner only proposes moves; a move that a record refuses does not happen.
//
// Everything here is pure: the same input gives the same moves.
package placement

import "time"

// State is the state of a replica, as its ledger shows it.
type State int

// The states of replicas. Ready means that the engine reports it ready and
// no order that may still arrive would unload it. A replica is Unloading from
// the moment at which an Unload move is taken.
const (
	Loading State = iota
	Ready
	Unloading
)

// Model is one model as one zone sees it.
type Model struct {
	Name     string
	MemoryMB int64
	// MinReplicas are kept in the fleet as far as memory allows, in other zones
	// first. One is meant by less.
	MinReplicas int
	// MaxReplicas is the most that the fleet holds; 0 is no bound.
	MaxReplicas int
	// Fast and Slow are averages of the demand on this zone, in accelerators:
	// the accelerator time that it takes to serve a second's requests.
	Fast float64
	Slow float64
	// Designated says that the zone is, or may be, a home (HomesView).
	Designated bool
	// Lost says that the zone's home is recorded as lost.
	Lost bool
	// Elsewhere counts the homes in zones that can be reached. It is zero
	// while the record or the other zones cannot be reached.
	Elsewhere int
	// Since is how long Elsewhere and Designated have been as they are.
	Since time.Duration
	// Idle is the time since the last request in this zone.
	Idle time.Duration
}

// Replica is one model on one upstream.
type Replica struct {
	Model    int // index in Input.Models
	State    State
	Draining bool // the router sends it nothing new
	InFlight int
	Age      time.Duration // since its load was ordered
}

// Upstream is one model engine with one accelerator.
type Upstream struct {
	Name string
	// MemoryMB is what models may use; adapters and the KV cache are apart.
	MemoryMB int64
	// CommittedMB is the worst case that its ledger counts.
	CommittedMB int64
	Live        bool
	Replicas    []Replica
}

// Input is what one zone's duty holder knows. It plans only once it has
// claimed the record of homes and the ledgers; models of a shard or upstreams
// of a ledger that it has not claimed are left out.
type Input struct {
	Zone string
	// Zones are the zones alive and reachable, in order, this one included.
	Zones []string
	// AllZones are the zones that may hold the models, alive or not, as the
	// document names them. Empty means Zones.
	AllZones  []string
	Models    []Model
	Upstreams []Upstream
	// Loads is how many loads the zone's share of the weight store lets start.
	Loads int
}

// Kind is what a move does.
type Kind int

// The kinds of moves. Load and Unload change an upstream's wanted set; Drain
// and Resume tell the router; the others change the record of homes.
const (
	Load Kind = iota
	Unload
	Drain
	Resume
	Designate
	Retire
	MarkLost
	Forget // the model was deleted: this zone's home goes, though it be the last
)

func (k Kind) String() string {
	return [...]string{"load", "unload", "drain", "resume", "designate", "retire", "mark lost", "forget"}[k]
}

// Move is one step. Upstream is empty for changes of the record of homes.
type Move struct {
	Kind     Kind
	Model    string
	Upstream string
	Reason   string
}

// Planner is a placement policy.
type Planner interface {
	// Plan returns the moves that can start now. It keeps nothing.
	Plan(in Input) []Move
}
