// Package engineapi defines the messages of a model engine's HTTP interface: generate (a stream of
// JSON lines), cancel, load, cache events, export and import of KV caches, and orders.
// docs/protocols describes the interface.
package engineapi

// Paths of the engine's HTTP interface.
const (
	PathGenerate    = "/v1/generate"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathExport      = "/v1/kv-cache/export"
	PathImport      = "/v1/kv-cache/import"
	// PathExported is where an importing engine fetches a KV cache from the exporting engine.
	PathExported = "/v1/kv-cache/exported"
	PathOrder    = "/v1/orders"
)

// BlockTokens is the number of tokens in one block of the prefix cache.
const BlockTokens = 16

// GenerateRequest starts an attempt, either from the beginning or after tokens already emitted.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	// Prompt is the complete prompt. Each word counts as one token.
	Prompt string `json:"prompt"`
	// Emitted holds the output tokens that the caller already has. The engine continues after them.
	Emitted   []string `json:"emitted,omitempty"`
	MaxTokens int      `json:"max_tokens"`
	// Priority orders the engine's queue. The highest value is the most urgent and is served first.
	Priority int `json:"priority"`
	// ImportedHandle is the handle of a KV cache that was imported for this attempt.
	ImportedHandle string `json:"imported_handle,omitempty"`
}

// GenerateEvent is one line of an attempt's stream.
type GenerateEvent struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	// Offset is the token's position in the request's complete output, starting at 0.
	Offset int    `json:"offset"`
	Token  string `json:"token,omitempty"`
	// Heartbeat lines carry no token. The engine sends at least one line per second.
	Heartbeat bool `json:"heartbeat,omitempty"`
	// Done marks the final line. Offset is then the total number of tokens.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	// CachedTokens is the number of prompt tokens that the engine took from its cache. It is set
	// in the line of the first token and in the final line.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// ComputedTokens is the number of prompt and emitted tokens that the engine had to compute.
	ComputedTokens int    `json:"computed_tokens,omitempty"`
	Error          string `json:"error,omitempty"`
}

// CancelRequest ends an attempt.
type CancelRequest struct {
	AttemptID string `json:"attempt_id"`
}

// Load is an engine's latest published load report. It may be outdated.
type Load struct {
	RunnerID string `json:"runner_id"`
	// AgeMillis is the age of the report when it was served.
	AgeMillis int64 `json:"age_ms"`
	Running   int   `json:"running"`
	// Waiting is the number of requests that wait for a slot in the batch. MaxRunning is the
	// number of slots; zero means that it is unknown.
	Waiting       int     `json:"waiting,omitempty"`
	MaxRunning    int     `json:"max_running,omitempty"`
	QueuedTokens  int     `json:"queued_tokens"`
	RunningTokens int     `json:"running_tokens"`
	KVBlocksTotal int     `json:"kv_blocks_total"`
	KVBlocksFree  int     `json:"kv_blocks_free"`
	PrefillRate   float64 `json:"prefill_tokens_per_second"`
	// DecodeRate is the rate of a single sequence.
	DecodeRate float64       `json:"decode_tokens_per_second"`
	Models     []LoadedModel `json:"models"`
	Role       string        `json:"role,omitempty"`
	// Leaving says that the VM has been told to shut down.
	Leaving bool `json:"leaving,omitempty"`
	// DeadlineMillis is the time left until the shutdown. It is only valid if Leaving is set.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
}

// LoadedModel is a model that an engine holds or loads, with its loaded adapters.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Loading  bool     `json:"loading,omitempty"`
}

// CacheEvents is a page of changes to an engine's prefix cache.
type CacheEvents struct {
	RunnerID string `json:"runner_id"`
	// First is the oldest sequence number that the engine still keeps. A reader that requested an
	// earlier one has missed events.
	First uint64 `json:"first"`
	// Next is the sequence number from which the reader requests the next page.
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheEvent says that a block was stored in or evicted from the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Block identifies the block by a chained hash: the hash of its tokens and of the previous
	// block's hash. It therefore stands for the whole prefix that ends with the block.
	Block  uint64 `json:"block,string"`
	Stored bool   `json:"stored"`
}

// ExportRequest asks an engine to make an attempt's KV cache available to another runner.
type ExportRequest struct {
	AttemptID string `json:"attempt_id"`
}

// ExportResponse describes the exported KV cache.
type ExportResponse struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
}

// ImportRequest asks an engine to fetch an exported KV cache from another runner.
type ImportRequest struct {
	Source string `json:"source"`
	Handle string `json:"handle"`
}

// ImportResponse says how many tokens of the imported KV cache are usable.
type ImportResponse struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order changes the models or the role of a runner. Orders describe the desired state, so they are
// idempotent.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Fencing uint64    `json:"fencing"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// Code is the machine-readable reason of a refusal.
type Code string

// Codes of refusals.
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

// ErrorBody is the JSON body of a refusal. A refusal before the first line of the stream means that
// the attempt wasn't started.
type ErrorBody struct {
	Error   string `json:"error"`
	Code    Code   `json:"code,omitempty"`
	Fencing uint64 `json:"fencing,omitempty"`
}
