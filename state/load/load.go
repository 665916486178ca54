// Package load holds what a model runner last published of itself. Reports
// lag; As of tells how far.
package load

import "time"

// Model is one model in a runner's memory.
type Model struct {
	Name     string
	Version  string
	Adapters []string
	// Loading ones can't serve yet.
	Loading bool
}

// Report is one runner's load at one moment.
type Report struct {
	// AsOf is when the runner drew the report up, on the reader's clock.
	AsOf time.Time
	// Running is the number of requests in the batch.
	Running int
	// Waiting is the number of requests that wait for a place in the batch,
	// MaxRunning the number of places; zero is not known.
	Waiting    int
	MaxRunning int
	// QueuedTokens is the prompt tokens that wait for their prefill.
	QueuedTokens int
	// RunningTokens is the tokens in the KV cache of the batch.
	RunningTokens int
	// KVBlocksTotal and KVBlocksFree count blocks of the KV cache.
	KVBlocksTotal int
	KVBlocksFree  int
	// PrefillRate is prompt tokens per second; zero is not known.
	PrefillRate float64
	// DecodeRate is output tokens per second of one request.
	DecodeRate float64
	Models     []Model
	// Leaving says that the VM has been told to go, Left in how long.
	Leaving  bool
	TimeLeft time.Duration
}
