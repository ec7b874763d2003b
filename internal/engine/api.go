// Package engine defines the control interface of model engines: headers, paths
// and JSON types, and the hashes of prompt prefixes. Client reads engines' reports
// and cache events, sends them orders and cancels attempts.
package engine

// Headers of requests to an engine and of its answers.
const (
	// HeaderAttempt identifies one attempt; the answer echoes it.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderOffset on a request asks the engine to resume the stream of the
	// same attempt after that number of tokens.
	HeaderOffset = "X-Stream-Offset"
	// HeaderPriority is the scheduling class: PriorityLive or PriorityBatch.
	HeaderPriority = "X-Priority"
	// HeaderFlow names the flow of the request. The engine schedules fairly
	// between flows; requests with the same flow share one queue. The instance
	// sends the organisation as the flow.
	HeaderFlow = "X-Flow"
	// HeaderExecuted on an error answer is ExecutedNo if the request was not
	// started.
	HeaderExecuted = "X-Ran"
)

// Values of HeaderPriority and HeaderExecuted.
const (
	PriorityLive  = "live"
	PriorityBatch = "batch"
	ExecutedNo    = "no"
)

// Paths of an engine's HTTP interface, beside /v1/completions and
// /v1/chat/completions.
const (
	PathOrders      = "/engine/orders"       // POST Order, answers OrderReply
	PathReport      = "/engine/report"       // GET Report; echoes HeaderAttempt
	PathCacheEvents = "/engine/cache-events" // GET ?since=SEQ, answers CacheEvents
	PathCancel      = "/engine/cancel/"      // POST attempt id
	PathKVExport    = "/engine/kv/export"    // POST model and prompt, as for a completion; answers KVPrefix
	PathKVImport    = "/engine/kv/import"    // POST KVPrefix, answers KVImported
)

// Op is the operation that an order requests.
type Op string

// The operations of orders.
const (
	OpLoad          Op = "load"
	OpUnload        Op = "unload"
	OpLoadAdapter   Op = "load_adapter"
	OpUnloadAdapter Op = "unload_adapter"
	OpSetRole       Op = "set_role"
)

// Role is the part of request processing that an engine performs.
type Role string

// The roles of engines.
const (
	RoleMixed   Role = "mixed"   // whole requests; the initial role
	RolePrefill Role = "prefill" // prompts, up to the first token
	RoleDecode  Role = "decode"  // requests whose prompt is in the prefix cache
)

// Order asks an engine to change its resident models, its adapters or its role.
// An engine that checks fencing tokens refuses an order whose FencingToken is
// below the highest one seen.
type Order struct {
	ID           string `json:"id"`
	FencingToken uint64 `json:"fence"`
	Op           Op     `json:"op"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter,omitempty"`
	Version      string `json:"version,omitempty"`
	MemoryMB     int64  `json:"memory_mb"`
	Role         Role   `json:"role,omitempty"` // for OpSetRole, which names no model
}

// OrderReply reports whether the engine accepted an order.
type OrderReply struct {
	Accepted     bool   `json:"accepted"`
	Reason       string `json:"reason,omitempty"`
	FencingToken uint64 `json:"fence"` // highest fencing token seen
}

// Residency is the state of one resident model or adapter.
type Residency string

// The states of residency.
const (
	ResidencyLoading   Residency = "loading"
	ResidencyReady     Residency = "ready"
	ResidencyUnloading Residency = "unloading"
)

// Resident is one model or adapter that occupies accelerator memory.
type Resident struct {
	Model    string    `json:"model"`
	Adapter  string    `json:"adapter,omitempty"`
	Version  string    `json:"version,omitempty"`
	MemoryMB int64     `json:"memory_mb"`
	State    Residency `json:"state"`
	OrderID  string    `json:"order_id"`
}

// OrderOutcome reports the outcome of one order in the engine.
type OrderOutcome struct {
	OrderID string `json:"order_id"`
	Applied bool   `json:"applied"`
}

// Report is an engine's report of its own state. Seq grows with every change of
// residency; Boot differs between two runs of the engine. The load figures lag by
// AgeMS milliseconds.
type Report struct {
	Boot          string         `json:"boot"`
	Seq           uint64         `json:"seq"`
	FencingToken  uint64         `json:"fence"`
	Role          Role           `json:"role"`
	MemoryMB      int64          `json:"memory_mb"`
	Resident      []Resident     `json:"resident"`
	Outcomes      []OrderOutcome `json:"settled"` // outcomes of the latest orders, oldest first
	Running       int            `json:"running"`
	Queued        int            `json:"queued"`
	QueuedPrefill int64          `json:"queued_prefill_tokens"`
	FreeKVTokens  int64          `json:"free_kv_tokens"`
	Leaving       bool           `json:"leaving,omitempty"`
	AgeMS         int64          `json:"age_ms"` // age of the load figures in milliseconds
}

// KVPrefix is the KV cache of one prompt prefix in transfer from one engine to
// another. Blocks are the hashes of its prefixes, as PrefixHashes returns them.
type KVPrefix struct {
	Model  string   `json:"model"` // model or model:adapter
	Blocks []uint64 `json:"blocks"`
}

// Tokens returns the length of the prefix in tokens.
func (k KVPrefix) Tokens() int { return len(k.Blocks) * CacheBlockTokens }

// KVImported is the answer to an import, with the number of tokens imported.
type KVImported struct {
	Tokens int `json:"tokens"`
}

// CacheEvent reports that a prompt prefix entered the cache or was evicted.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Model   string `json:"model"`
	Prefix  uint64 `json:"prefix"` // hash of the prompt prefix
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheEvents is the result of one read of the event stream. Lost events appear
// as gaps in Seq.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}
