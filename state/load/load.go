// Package load defines the load reports of model runners. A report may be out
// of date; Report.AsOf tells its age.
package load

import "time"

// Model is a model that a runner has in memory or is loading.
type Model struct {
	Name     string
	Version  string
	Adapters []string
	// Loading is set while the model is being loaded and can't serve requests
	// yet.
	Loading bool
}

// Report is the load of one runner at one time.
type Report struct {
	// AsOf is the time at which the runner made the report, converted to the
	// clock of the reader.
	AsOf time.Time
	// Running is the number of requests in the batch.
	Running int
	// Waiting is the number of requests that wait for a place in the batch.
	Waiting int
	// MaxRunning is the number of places in the batch. Zero means unknown.
	MaxRunning int
	// QueuedTokens is the number of prompt tokens that wait for their prefill.
	QueuedTokens int
	// RunningTokens is the number of tokens that the requests in the batch have
	// in the KV cache.
	RunningTokens int
	// KVBlocksTotal and KVBlocksFree are the numbers of all and of free blocks
	// in the KV cache.
	KVBlocksTotal int
	KVBlocksFree  int
	// PrefillRate is the number of prompt tokens per second that the runner
	// processes over all its requests, as reported by the runner or estimated by
	// the daemon. For a plain service, the daemon estimates it from the service
	// time of the requests. Zero means unknown.
	PrefillRate float64
	// DecodeRate is the number of output tokens that the runner generates per
	// second for each request in the batch.
	DecodeRate float64
	Models     []Model
	// Leaving is set once the cloud has announced that the VM will be stopped.
	Leaving bool
	// TimeUntilStop is the time that was left until the VM is stopped when the
	// runner answered the query for its load. It is valid only if Leaving is set.
	TimeUntilStop time.Duration
}
