// Package cloudapi is the client of the cloud API, the VM list and the weight store. docs/protocols
// describes their HTTP interfaces.
package cloudapi

import (
	"context"
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// VMState is the state of a VM according to the VM list, which may be outdated.
type VMState string

// States of a VM.
const (
	VMStarting VMState = "starting"
	VMLive     VMState = "live"
	VMLeaving  VMState = "leaving"
)

// VM is a machine in the VM list.
type VM struct {
	// ID identifies one incarnation of a VM and is never reused.
	ID            string              `json:"id"`
	Address       string              `json:"address"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Class         string              `json:"class"`
	Reclaimable   bool                `json:"reclaimable"`
	PricePerHour  float64             `json:"price_per_hour"`
	// Service is the service whose runner the VM hosts.
	Service string  `json:"service"`
	State   VMState `json:"state"`
}

// Notice announces that a VM will be reclaimed.
type Notice struct {
	Sequence uint64 `json:"sequence"`
	VM       string `json:"vm"`
	Address  string `json:"address"`
	// LeftMillis is the time until the VM is reclaimed, counted from when the notice was served.
	LeftMillis int64 `json:"left_ms"`
}

// Quote is the current price of a VM class in a failure domain.
type Quote struct {
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Class         string              `json:"class"`
	PricePerHour  float64             `json:"price_per_hour"`
}

// StartRequest orders one VM. Token makes the request idempotent: the same token never starts a
// second VM. Fencing is the ID of the lease under which the VM is ordered.
type StartRequest struct {
	Token         string              `json:"token"`
	Fencing       uint64              `json:"fencing"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Class         string              `json:"class"`
	Service       string              `json:"service"`
}

// Cloud starts and stops VMs, quotes prices and announces reclaims.
type Cloud interface {
	Start(ctx context.Context, r StartRequest) (VM, error)
	Stop(ctx context.Context, id string, fencing uint64) error
	Quotes(ctx context.Context) ([]Quote, error)
	// Notices waits at most wait for notices with a sequence number greater than after.
	Notices(ctx context.Context, after uint64, wait time.Duration) ([]Notice, error)
}

// VMLister lists the live and leaving VMs. The list may be outdated.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}

// Weight describes the stored weights of one version of a model or adapter.
type Weight struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// WeightStore is the part of the rate-limited weight store that daemons use: it tells whether a
// version exists and how large it is.
type WeightStore interface {
	Stat(ctx context.Context, name, version string) (Weight, error)
}

// StartRefusedError says that the cloud has no such VM available at the moment.
type StartRefusedError struct{ Reason string }

func (e *StartRefusedError) Error() string { return fmt.Sprintf("start refused: %s", e.Reason) }

// NotFoundError says that a VM or a version of weights doesn't exist.
type NotFoundError struct{ Resource string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("not found: %s", e.Resource) }

// RateLimitedError says that the weight store accepts no calls until RetryAfter has passed.
type RateLimitedError struct{ RetryAfter time.Duration }

func (e *RateLimitedError) Error() string { return fmt.Sprintf("rate limited for %s", e.RetryAfter) }

// StaleFencingError says that the cloud has already seen a greater fencing number.
type StaleFencingError struct{ Seen uint64 }

func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("fencing number is older than %d", e.Seen)
}

// UnavailableError says that the service gave no usable answer. A start may have taken effect.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("platform unavailable: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
