// Package view holds the read-only interfaces through which the rest of the daemon sees the
// configuration in force, the other daemons and the runners. Implementations are safe for
// concurrent use. Returned values are shared and must not be modified.
package view

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// Config gives access to the configuration in force at this daemon.
type Config interface {
	// Current returns nil and zero until a configuration is in force.
	Current() (*manifest.Manifest, ident.Generation)
	// Changed returns a channel that is closed when the next generation comes into force.
	Changed() <-chan struct{}
}

// State is the state of a daemon or runner as concluded from all reports about it.
type State string

// States of daemons and runners.
const (
	// Live processes accept new work.
	Live State = "live"
	// Leaving processes accept no new work. The state is final for the incarnation, except
	// that it may become Gone.
	Leaving State = "leaving"
	// Suspect processes have not answered for a while. They are used only after the live
	// ones, and may become live again.
	Suspect State = "suspect"
	// Gone processes have ended. The state is final for the incarnation.
	Gone State = "gone"
)

// Daemon is one incarnation of a daemon.
type Daemon struct {
	ID            ident.DaemonID
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	CallerAddress string
	PeerAddress   string
	State         State
	// LeavesAt is when a leaving daemon ends; zero if not known.
	LeavesAt   time.Time
	Generation ident.Generation
	LastHeard  time.Time
}

// Runner is one incarnation of a backend server.
type Runner struct {
	ID            ident.RunnerID
	Address       string
	Service       string
	FailureDomain ident.FailureDomain
	VMClass       string
	Reclaimable   bool
	PricePerHour  float64
	State         State
	// LeavesAt is when a leaving runner ends; zero if not known.
	LeavesAt time.Time
}

// Directory lists the known daemons and runners with their states.
type Directory interface {
	Self() Daemon
	// Daemons returns all daemons that are not gone, including this one, sorted by ID.
	Daemons() []Daemon
	// Runners returns a service's runners that are not gone, sorted by ID.
	Runners(service string) []Runner
	// Changed returns a channel that is closed at the next change of any daemon or runner.
	Changed() <-chan struct{}
	// NoteRunnerLeaving records that the runner at an address is leaving, as learned from the
	// runner itself or from its refusal of a request. timeLeft is the time until the
	// runner ends. The information spreads to the other daemons.
	NoteRunnerLeaving(address string, timeLeft time.Duration)
}
