// Package cloudapi is the client side of the cloud API, the VM list and the
// weight store. The wire forms are in docs/protocols.
package cloudapi

import (
	"context"
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// VMState is what the lagging list says of a VM.
type VMState string

// States of a VM.
const (
	VMStarting VMState = "starting"
	VMLive     VMState = "live"
	VMLeaving  VMState = "leaving"
)

// VM is one machine of the list.
type VM struct {
	// ID names one incarnation of a VM; it is never used again.
	ID            string              `json:"id"`
	Address       string              `json:"address"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Class         string              `json:"class"`
	Reclaimable   bool                `json:"reclaimable"`
	PricePerHour  float64             `json:"price_per_hour"`
	// Service is the service whose runner the VM holds.
	Service string  `json:"service"`
	State   VMState `json:"state"`
}

// Notice says that a VM is going to be reclaimed.
type Notice struct {
	Sequence uint64 `json:"sequence"`
	VM       string `json:"vm"`
	Address  string `json:"address"`
	// LeftMillis is the time left when the notice was served.
	LeftMillis int64 `json:"left_ms"`
}

// Quote is the price of a VM class in a failure domain now.
type Quote struct {
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Class         string              `json:"class"`
	PricePerHour  float64             `json:"price_per_hour"`
}

// StartRequest asks for one VM. Token makes the request repeatable: the same
// token never starts a second VM. Fencing is the orderer's lease.
type StartRequest struct {
	Token         string              `json:"token"`
	Fencing       uint64              `json:"fencing"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Class         string              `json:"class"`
	Service       string              `json:"service"`
}

// Cloud is the cloud API.
type Cloud interface {
	Start(ctx context.Context, r StartRequest) (VM, error)
	Stop(ctx context.Context, id string, fencing uint64) error
	Quotes(ctx context.Context) ([]Quote, error)
	// Notices waits at most wait for notices later than after.
	Notices(ctx context.Context, after uint64, wait time.Duration) ([]Notice, error)
}

// VMLister is the lagging list of live and leaving VMs.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}

// Weight is what the store knows of one version of a model or adapter.
type Weight struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// WeightStore is the rate-limited weight store, as far as the control side needs
// it: whether a version is there and how large it is.
type WeightStore interface {
	Stat(ctx context.Context, name, version string) (Weight, error)
}

// StartRefusedError says that the cloud has no such VM to give now.
type StartRefusedError struct{ Reason string }

func (e *StartRefusedError) Error() string { return fmt.Sprintf("start refused: %s", e.Reason) }

// NotFoundError says that a VM or weight is not there.
type NotFoundError struct{ Resource string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("not found: %s", e.Resource) }

// RateLimitedError says that the weight store wants calls to wait.
type RateLimitedError struct{ RetryAfter time.Duration }

func (e *RateLimitedError) Error() string { return fmt.Sprintf("rate limited for %s", e.RetryAfter) }

// StaleFencingError says that the cloud has seen a newer fencing number.
type StaleFencingError struct{ Seen uint64 }

func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("fencing number is older than %d", e.Seen)
}

// UnavailableError says that no answer came; a start may have taken effect.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("platform unavailable: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
