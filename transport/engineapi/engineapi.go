// Package engineapi is the wire form of a model engine's HTTP interface, as
// docs/protocols describes it: generate (a stream of JSON lines), cancel, load,
// cache events, KV cache export and import, and orders.
package engineapi

// Paths of the engine's interface.
const (
	PathGenerate    = "/v1/generate"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathExport      = "/v1/kv-cache/export"
	PathImport      = "/v1/kv-cache/import"
	// PathExported is where an importing engine fetches from the exporting one.
	PathExported = "/v1/kv-cache/exported"
	PathOrder    = "/v1/orders"
)

// BlockTokens is the number of tokens that one prefix cache block covers.
const BlockTokens = 16

// GenerateRequest starts an attempt, from the beginning or from an offset.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	// Prompt is the whole prompt; tokens are its words.
	Prompt string `json:"prompt"`
	// Emitted holds the output tokens that the caller already has; the engine
	// goes on after them.
	Emitted   []string `json:"emitted,omitempty"`
	MaxTokens int      `json:"max_tokens"`
	// Priority orders the engine's queue; higher first.
	Priority int `json:"priority"`
	// ImportedHandle names a KV cache that was imported for this attempt.
	ImportedHandle string `json:"imported_handle,omitempty"`
}

// GenerateEvent is one line of an attempt's stream.
type GenerateEvent struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	// Offset numbers the token in the whole output of the request, from 0.
	Offset int    `json:"offset"`
	Token  string `json:"token,omitempty"`
	// Heartbeat lines carry no token; they come at least once a second.
	Heartbeat bool `json:"heartbeat,omitempty"`
	// Done ends the stream; Offset is then the number of tokens in all.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	// CachedTokens is the part of the prompt that was not computed anew; it
	// comes with the first token and with Done.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// ComputedTokens is the prompt and emitted tokens that were computed.
	ComputedTokens int    `json:"computed_tokens,omitempty"`
	Error          string `json:"error,omitempty"`
}

// CancelRequest ends an attempt.
type CancelRequest struct {
	AttemptID string `json:"attempt_id"`
}

// Load is what an engine last published of itself; it lags.
type Load struct {
	RunnerID string `json:"runner_id"`
	// AgeMillis is how old the report was when it was served.
	AgeMillis int64 `json:"age_ms"`
	Running   int   `json:"running"`
	// Waiting is the number of requests that wait for a place in the batch,
	// MaxRunning the number of places; zero is not known.
	Waiting       int     `json:"waiting,omitempty"`
	MaxRunning    int     `json:"max_running,omitempty"`
	QueuedTokens  int     `json:"queued_tokens"`
	RunningTokens int     `json:"running_tokens"`
	KVBlocksTotal int     `json:"kv_blocks_total"`
	KVBlocksFree  int     `json:"kv_blocks_free"`
	PrefillRate   float64 `json:"prefill_tokens_per_second"`
	// DecodeRate is of one sequence.
	DecodeRate float64       `json:"decode_tokens_per_second"`
	Models     []LoadedModel `json:"models"`
	Role       string        `json:"role,omitempty"`
	// Leaving says that the VM has been told to go.
	Leaving bool `json:"leaving,omitempty"`
	// DeadlineMillis is the time left until then; meaningless unless Leaving.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
}

// LoadedModel is one model or adapter in an engine's memory.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Loading  bool     `json:"loading,omitempty"`
}

// CacheEvents is a page of an engine's prefix cache changes.
type CacheEvents struct {
	RunnerID string `json:"runner_id"`
	// First is the oldest sequence number still kept; a reader that wanted an
	// earlier one has a gap.
	First  uint64       `json:"first"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheEvent says that a block chain hash was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Block is the chained hash of the prefix that ends with this block.
	Block  uint64 `json:"block,string"`
	Stored bool   `json:"stored"`
}

// ExportRequest asks for an attempt's KV cache to be offered to another runner.
type ExportRequest struct {
	AttemptID string `json:"attempt_id"`
}

// ExportResponse names the exported cache.
type ExportResponse struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
}

// ImportRequest makes a runner fetch an exported cache from another.
type ImportRequest struct {
	Source string `json:"source"`
	Handle string `json:"handle"`
}

// ImportResponse says how much is usable.
type ImportResponse struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
}

// OrderKind is what an order asks for.
type OrderKind string

// Orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order changes what a runner holds. Orders state what should be, so they can
// be repeated.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Fencing uint64    `json:"fencing"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// Code tells an engine's refusals apart.
type Code string

// Codes of an ErrorBody.
const (
	CodeMalformed        Code = "malformed"
	CodeNotLoaded        Code = "not_loaded"
	CodeLeaving          Code = "leaving"
	CodeQueueFull        Code = "queue_full"
	CodeTooLong          Code = "too_long"
	CodeDuplicateAttempt Code = "duplicate_attempt"
	CodeUnknownAttempt   Code = "unknown_attempt"
	CodeUnknownHandle    Code = "unknown_handle"
	CodeStaleFencing     Code = "stale_fencing"
	CodeTransferFailed   Code = "transfer_failed"
	CodeUnavailable      Code = "unavailable"
)

// ErrorBody is the JSON body of an engine's refusal. A refusal before the
// stream's first line means that the attempt was not started.
type ErrorBody struct {
	Error   string `json:"error"`
	Code    Code   `json:"code,omitempty"`
	Fencing uint64 `json:"fencing,omitempty"`
}
