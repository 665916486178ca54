// Package view holds the read side of coordination: what the rest of the
// daemon sees of the configuration in force, of the other daemons and of the
// runners. The implementations are safe for concurrent use; returned values
// are shared and must not be changed.
package view

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// Config is the configuration in force at this daemon.
type Config interface {
	// Current returns nil and zero until there is one.
	Current() (*manifest.Manifest, ident.Generation)
	// Changed is closed when the next generation comes into force.
	Changed() <-chan struct{}
}

// State is what a daemon concludes of another process from all that it heard.
type State string

// States of daemons and runners.
const (
	// Live ones take new work.
	Live State = "live"
	// Leaving ones take no new work; final for that incarnation.
	Leaving State = "leaving"
	// Suspect ones have been silent; they are used last and may come back.
	Suspect State = "suspect"
	// Gone ones are over; final for that incarnation.
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
	// LeavesAt is when a leaving one ends; zero if not known.
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
	// LeavesAt is when a leaving one ends; zero if not known.
	LeavesAt time.Time
}

// Directory lists daemons and runners with the conclusions drawn of them.
type Directory interface {
	Self() Daemon
	// Daemons lists all known ones but the gone, this one included, by ID.
	Daemons() []Daemon
	// Runners lists a service's runners but the gone, by ID.
	Runners(service string) []Runner
	// Changed is closed at the next change of any of these.
	Changed() <-chan struct{}
	// NoteLeaving tells what was learned elsewhere: a runner's own word or
	// refusal. It spreads to the other daemons.
	NoteLeaving(address string, left time.Duration)
}
