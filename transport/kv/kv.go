// Package kv is the client side of the platform's key-value service:
// compare-and-swap, leases and watches. Its wire form is in docs/protocols.
package kv

import (
	"context"
	"fmt"
	"time"
)

// Revision numbers changes of the whole store; zero means "no such key".
type Revision uint64

// LeaseID names a lease; zero is none. A lease's ID is unique for all time and
// grows with each grant, so it serves as a fencing token.
type LeaseID uint64

// Entry is one key with its value.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// Event is one change of a key; Deleted ones carry no value.
type Event struct {
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the service as its clients see it. Every call counts against the
// service's rate, a waiting watch as one. An error that is not one of this
// package's types, and any *UnavailableError, leaves the outcome of a write
// open: it may have taken effect.
type Store interface {
	// Get returns the entry, with a zero Revision if there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under a prefix in key order, at most limit,
	// with keys greater than after.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision is expected (zero:
	// create if absent) and returns the new revision, else *ConflictError.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes the key if its revision is expected, else *ConflictError.
	Delete(ctx context.Context, key string, expected Revision) error
	// Grant makes a lease; its keys vanish when it lapses.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, else *LeaseExpiredError.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits at most wait for changes under prefix later than after and
	// returns them with the revision to go on from; none is no error. Where
	// the service no longer has all of them it is a *CompactedError: the
	// caller lists the prefix again and watches from the error's Current.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
}

// ConflictError says that a compare-and-swap did not take effect, and what
// stands there instead.
type ConflictError struct{ Current Entry }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict at %q: revision is %d", e.Current.Key, e.Current.Revision)
}

// LeaseExpiredError says that a lease is over.
type LeaseExpiredError struct{ Lease LeaseID }

func (e *LeaseExpiredError) Error() string { return fmt.Sprintf("lease %d expired", e.Lease) }

// CompactedError says that the changes that a watch asked for are no longer
// all kept.
type CompactedError struct {
	// Oldest is the last revision whose change is gone.
	Oldest Revision
	// Current is the store's revision at the time of the answer. A list made
	// after it and a watch from it miss nothing between them.
	Current Revision
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes up to revision %d are compacted", e.Oldest)
}

// UnavailableError says that no answer came. A write may have taken effect.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("key-value service unavailable: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// TooLargeError says that a value is over the service's bound.
type TooLargeError struct{ Size, Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %d bytes is over the limit of %d", e.Size, e.Limit)
}
