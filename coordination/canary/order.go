package canary

import (
	"reflect"
	"slices"
	"time"
)

// Version names the software that a runner runs.
type Version string

// Order is the operator's wish to move a service to a version.
type Order struct {
	Service string
	Target  Version
	// Duration is the time in which the order should be decided.
	Duration time.Duration
	// Revision is that of the order in the key-value service. It tells orders apart.
	Revision uint64
}

// State is how far an order is.
type State string

// States of an order. The last two are final.
const (
	// Running compares the versions; the new one gets what allowances let through.
	Running State = "running"
	// Promoting sends all new requests to the new version, until the old runners are idle.
	Promoting State = "promoting"
	// Completed ones have the old runners stopped, at once and with what they are doing.
	Completed State = "completed"
	// RolledBack ones have the new runners drained and stopped.
	RolledBack State = "rolled_back"
)

// Final tells whether the order is decided.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Record is what is known of an order in the key-value service.
type Record struct {
	Service string  `json:"service"`
	Target  Version `json:"target"`
	// Order is the revision of the order.
	Order uint64 `json:"order"`
	State State  `json:"state"`
	// Reserved bounds the requests that were let to the new version while Running.
	Reserved int `json:"reserved"`
	// Holder is the peer address of the daemon that gives out allowances.
	Holder string `json:"holder"`
	// DeadlineMillis is when the order should be decided, as Unix time.
	DeadlineMillis int64 `json:"deadline_unix_ms"`
	// Avoid are versions of earlier orders that were not completed.
	Avoid []Version `json:"avoid,omitempty"`
	// Reason says what the last step rests on.
	Reason Reason `json:"reason"`
	// Route is the one whose answers decided; empty is none.
	Route string `json:"route,omitempty"`
}

// Reason is what a step of an order rests on.
type Reason string

// Reasons.
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

// Equal tells whether two records say the same.
func (r Record) Equal(other Record) bool {
	avoid := slices.Equal(r.Avoid, other.Avoid)
	r.Avoid, other.Avoid = nil, nil
	return avoid && reflect.DeepEqual(r, other)
}

// versionsToAvoid are the versions to avoid once a newer order stands, beside the newer target.
func (r *Record) versionsToAvoid(target Version) []Version {
	avoid := slices.Clone(r.Avoid)
	if r.State != Completed && r.Target != "" {
		avoid = append(avoid, r.Target)
	}
	slices.Sort(avoid)
	avoid = slices.Compact(avoid)
	return slices.DeleteFunc(avoid, func(v Version) bool { return v == target })
}
