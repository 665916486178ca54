package cloudapi

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"geraniumstack.org/geraniumstack/transport/cloudapi"
)

// WeightFaults are the injected faults of the weight store.
type WeightFaults struct {
	// Outage makes every call fail at once.
	Outage bool `json:"outage,omitempty"`
	// DelayMillis delays every response.
	DelayMillis int64 `json:"delay_ms,omitempty"`
}

// Weights is a weight store with rate-limited calls. It is safe for
// concurrent use and implements cloudapi.WeightStore.
type Weights struct {
	limiter *rate.Limiter

	mu      sync.Mutex
	weights map[string]cloudapi.Weight
	// bandwidth is in bytes per second, shared by all transfers; zero means
	// no limit.
	bandwidth   float64
	linkFreeAt  time.Time
	faults      WeightFaults
	calls       int
	rateLimited int
}

var _ cloudapi.WeightStore = (*Weights)(nil)

// NewWeights returns a store that admits perSecond calls per second and
// bursts of up to burst calls.
func NewWeights(perSecond float64, burst int, weights ...cloudapi.Weight) *Weights {
	w := &Weights{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), weights: map[string]cloudapi.Weight{}}
	for _, weight := range weights {
		w.Add(weight)
	}
	return w
}

// Add adds the weights of one version of a model to the store.
func (w *Weights) Add(weight cloudapi.Weight) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.weights[weightKey(weight.Name, weight.Version)] = weight
}

func weightKey(name, version string) string { return name + "\x00" + version }

// Stat implements cloudapi.WeightStore.
func (w *Weights) Stat(ctx context.Context, name, version string) (cloudapi.Weight, error) {
	f := w.Faults()
	if err := applyCallFaults(ctx, f.Outage, f.DelayMillis); err != nil {
		return cloudapi.Weight{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	now := time.Now()
	if wait := w.reserve(now); wait > 0 {
		w.rateLimited++
		return cloudapi.Weight{}, &cloudapi.RateLimitedError{RetryAfter: wait}
	}
	weight, ok := w.weights[weightKey(name, version)]
	if !ok {
		return cloudapi.Weight{}, &cloudapi.NotFoundError{Resource: fmt.Sprintf("%s version %s", name, version)}
	}
	return weight, nil
}

// reserve admits a call and returns zero, or returns the time until the rate
// limiter will admit one.
func (w *Weights) reserve(now time.Time) time.Duration {
	reservation := w.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

// LimitTransfers sets the bandwidth that all transfers share, in bytes per
// second.
func (w *Weights) LimitTransfers(bandwidth float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bandwidth = bandwidth
}

// TransferTime returns how long the weights take to arrive at a runner that
// starts to load them at now. Transfers share the store's bandwidth and run
// one after another.
func (w *Weights) TransferTime(now time.Time, name, version string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bandwidth <= 0 {
		return 0
	}
	if w.linkFreeAt.Before(now) {
		w.linkFreeAt = now
	}
	bytes := w.weights[weightKey(name, version)].Bytes
	w.linkFreeAt = w.linkFreeAt.Add(time.Duration(float64(bytes) / w.bandwidth * float64(time.Second)))
	return w.linkFreeAt.Sub(now)
}

// Calls returns the number of calls and how many of them exceeded the rate
// limit.
func (w *Weights) Calls() (all, rateLimited int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls, w.rateLimited
}

// SetFaults replaces all injected faults.
func (w *Weights) SetFaults(f WeightFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Faults returns the injected faults.
func (w *Weights) Faults() WeightFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}
