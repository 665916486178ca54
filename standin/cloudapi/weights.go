package cloudapi

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"geraniumstack.org/geraniumstack/transport/cloudapi"
)

// WeightFaults are the switches of the weight store.
type WeightFaults struct {
	// Outage makes every call fail at once.
	Outage bool `json:"outage,omitempty"`
	// DelayMillis is waited before each answer.
	DelayMillis int64 `json:"delay_ms,omitempty"`
}

// Weights is a weight store with a limit on its calls. It is safe for
// concurrent use and implements cloudapi.Weights.
type Weights struct {
	limiter *rate.Limiter

	mu      sync.Mutex
	weights map[string]cloudapi.Weight
	// bandwidth is in bytes per second over all transfers; zero is no bound.
	bandwidth   float64
	linkFreeAt  time.Time
	faults      WeightFaults
	calls       int
	rateLimited int
}

var _ cloudapi.WeightStore = (*Weights)(nil)

// NewWeights returns a store that answers perSecond calls a second and burst
// at once.
func NewWeights(perSecond float64, burst int, weights ...cloudapi.Weight) *Weights {
	w := &Weights{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), weights: map[string]cloudapi.Weight{}}
	for _, weight := range weights {
		w.Add(weight)
	}
	return w
}

// Add puts a version into the store.
func (w *Weights) Add(weight cloudapi.Weight) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.weights[weightKey(weight.Name, weight.Version)] = weight
}

func weightKey(name, version string) string { return name + "\x00" + version }

// Stat implements cloudapi.Weights.
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

// reserve takes a call out of the limit, or returns how long there is none.
func (w *Weights) reserve(now time.Time) time.Duration {
	reservation := w.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

// LimitTransfers makes transfers share a bandwidth in bytes per second.
func (w *Weights) LimitTransfers(bandwidth float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bandwidth = bandwidth
}

// TransferTime is how long a runner that begins to load a version at now has to
// wait for it: transfers share the store's bandwidth one after another.
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

// Calls is how many calls came, and how many of them were over the limit.
func (w *Weights) Calls() (all, rateLimited int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls, w.rateLimited
}

// SetFaults replaces all switches.
func (w *Weights) SetFaults(f WeightFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Faults returns the switches as they stand.
func (w *Weights) Faults() WeightFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}
