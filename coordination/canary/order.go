package canary

import (
	"reflect"
	"slices"
	"time"
)

// Version identifies a version of the software that a runner executes.
type Version string

// Order is an operator's request to move a service to a version.
type Order struct {
	Service string
	Target  Version
	// Duration is the time within which the order should be decided.
	Duration time.Duration
	// Revision is the revision of the order in the key-value service. It identifies the order.
	Revision uint64
}

// SameContent reports whether two orders ask for the same.
func (o Order) SameContent(other Order) bool {
	o.Revision = other.Revision
	return o == other
}

// State is the progress of an order.
type State string

// States of an order. Completed and RolledBack are final.
const (
	// Running compares the versions; the new one gets the requests that allowances permit.
	Running State = "running"
	// Promoting sends all new requests to the new version until the old runners are idle.
	Promoting State = "promoting"
	// Completed stops the old runners at once, including requests in progress there.
	Completed State = "completed"
	// RolledBack drains and stops the new runners.
	RolledBack State = "rolled_back"
)

// Final reports whether the order is decided.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// progress orders the states: a record of one order never goes back.
func (s State) progress() int {
	switch s {
	case Promoting:
		return 1
	case Completed, RolledBack:
		return 2
	}
	return 0
}

// Record is the stored state of an order in the key-value service.
type Record struct {
	Service string  `json:"service"`
	Target  Version `json:"target"`
	// Order is the revision of the order.
	Order uint64 `json:"order"`
	State State  `json:"state"`
	// Reserved is the most requests that may go to the new version while Running, summed over all
	// daemons. The holder raises it in the record before it grants more.
	Reserved int `json:"reserved"`
	// Holder is the peer address of the daemon that grants allowances.
	Holder string `json:"holder"`
	// DeadlineMillis is when the order should be decided, as Unix time.
	DeadlineMillis int64 `json:"deadline_unix_ms"`
	// Avoid lists the targets of earlier orders that were not completed. Their runners get no new
	// requests.
	Avoid []Version `json:"avoid,omitempty"`
	// Reason is the reason for the last change of the record.
	Reason Reason `json:"reason"`
	// Route is the route whose answers decided; empty if none did.
	Route string `json:"route,omitempty"`
}

// Reason says why a holder changed the record of an order.
type Reason string

// Values of Reason.
const (
	Ordered       Reason = "ordered"
	TookOver      Reason = "new_holder"
	MoreRequests  Reason = "more_requests"
	NoDifference  Reason = "no_difference"
	OldIdle       Reason = "old_runners_idle"
	TimeOver      Reason = "time_over"
	AlreadyInUse  Reason = "already_in_use"
	MoreFailures  Reason = "more_failures"
	Slower        Reason = "slower"
	TooFewRunners Reason = "too_few_runners"
	TooFewAnswers Reason = "too_few_answers"
)

// Equal reports whether two records have the same content.
func (r Record) Equal(other Record) bool {
	avoid := slices.Equal(r.Avoid, other.Avoid)
	r.Avoid, other.Avoid = nil, nil
	return avoid && reflect.DeepEqual(r, other)
}

// IsBehind reports whether another record of the service is a later one: that of a later order, or of
// the same one with more progress. The key-value service may show an earlier record after a later one if
// it comes back from a copy.
func (r Record) IsBehind(other Record) bool {
	if r.Order != other.Order {
		return r.Order < other.Order
	}
	if r.State != other.State {
		return r.State.progress() <= other.State.progress()
	}
	return r.Reserved < other.Reserved
}

// versionsToAvoid returns the versions whose runners must get no requests once an order with the
// given target replaces r's order: those in r.Avoid and, unless r's order is completed, r.Target. The
// given target itself is left out.
func (r *Record) versionsToAvoid(target Version) []Version {
	avoid := slices.Clone(r.Avoid)
	if r.State != Completed && r.Target != "" {
		avoid = append(avoid, r.Target)
	}
	slices.Sort(avoid)
	avoid = slices.Compact(avoid)
	return slices.DeleteFunc(avoid, func(v Version) bool { return v == target })
}
