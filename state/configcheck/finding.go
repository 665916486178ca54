// Package configcheck checks a configuration for mistakes before it comes into force, and compares
// it with another version. It does no I/O.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says what a finding means for the configuration.
type Severity int

// Severities, the least severe first.
const (
	// Difference is a change from the version in force.
	Difference Severity = iota
	// Warning is a mistake with which the configuration can be served, though not as intended.
	Warning
	// Error is a mistake that makes a part of the configuration unusable.
	Error
)

func (s Severity) String() string {
	switch s {
	case Error:
		return "error"
	case Warning:
		return "warning"
	default:
		return "difference"
	}
}

// Kind is what a finding is about. It determines the severity.
type Kind string

// Kinds of errors.
const (
	MissingName    Kind = "missing_name"
	DuplicateName  Kind = "duplicate_name"
	UnknownService Kind = "unknown_service"
	// UnknownKind is a route whose retry rules are unknown.
	UnknownKind Kind = "unknown_kind"
	BadWeight   Kind = "bad_weight"
	BadTime     Kind = "bad_time"
	BadNumber   Kind = "bad_number"
)

// Kinds of warnings.
const (
	// NoRoutes, UnreachableRoute, HiddenRoute, UnusedService, NoKey and SharedKey are entries that
	// can never match a request. NoKey is a missing list of workspaces, too, with which requests need no key.
	NoRoutes         Kind = "no_routes"
	UnreachableRoute Kind = "unreachable_route"
	HiddenRoute      Kind = "hidden_route"
	UnusedService    Kind = "unused_service"
	NoKey            Kind = "no_key"
	SharedKey        Kind = "shared_key"
	// ContradictoryLimits are limits of which one makes another pointless.
	ContradictoryLimits Kind = "contradictory_limits"
	// StaleVersion is a version that daemons don't accept as newer.
	StaleVersion Kind = "stale_version"
)

// Kinds of differences.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Severity returns the severity of findings of the kind.
func (k Kind) Severity() Severity {
	switch k {
	case MissingName, DuplicateName, UnknownService, UnknownKind, BadWeight, BadTime, BadNumber:
		return Error
	case Added, Removed, Changed:
		return Difference
	default:
		return Warning
	}
}

// Finding is a mistake in a configuration, or a difference from another version. Its message never
// contains a caller's key.
type Finding struct {
	Severity Severity
	Location Location
	Kind     Kind
	Message  string
}

// compare orders findings by location.
func compare(a, b Finding) int {
	return cmp.Or(
		a.Location.Compare(b.Location),
		cmp.Compare(b.Severity, a.Severity),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Message, b.Message),
	)
}

// report collects findings.
type report struct{ findings []Finding }

func (r *report) add(at Location, kind Kind, format string, args ...any) {
	r.findings = append(r.findings, Finding{
		Severity: kind.Severity(), Location: at, Kind: kind, Message: fmt.Sprintf(format, args...),
	})
}

// sorted returns the findings sorted by location, each once.
func (r *report) sorted() []Finding {
	slices.SortFunc(r.findings, compare)
	return slices.CompactFunc(r.findings, func(a, b Finding) bool { return compare(a, b) == 0 })
}

// MaxSeverity returns the highest severity among findings; Difference if there are none.
func MaxSeverity(findings []Finding) Severity {
	highest := Difference
	for i := range findings {
		highest = max(highest, findings[i].Severity)
	}
	return highest
}
