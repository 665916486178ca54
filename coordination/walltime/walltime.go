// Package walltime keeps an estimate of the true time of day that a jump of
// this VM's clock does not move.
//
// The time of day is close to the truth at most VMs at most times, but may jump
// by seconds on some of them and back. So the clock is read once, at the start;
// from then on the estimate runs with the clock that never jumps. The offsets of
// the other daemons' estimates are compared and their median is taken: a daemon
// that started during a jump is corrected, and a few wrong ones move nobody.
package walltime

import (
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Estimate holds one daemon's. It is not safe for concurrent use.
type Estimate struct {
	// localBase is the true time at offset zero of the steady clock by this VM's clock.
	localBase time.Time
	peerBases map[ident.Incarnation]time.Time
}

// New starts from this VM's clock, read when the steady clock showed now.
func New(wall time.Time, now time.Duration) *Estimate {
	return &Estimate{localBase: wall.Add(-now).Round(0), peerBases: map[ident.Incarnation]time.Time{}}
}

// Receive takes in a peer's estimate of the time of day, received at now.
func (e *Estimate) Receive(id ident.Incarnation, theirs time.Time, now time.Duration) {
	e.peerBases[id] = theirs.Add(-now)
}

// PeerEnded forgets a peer.
func (e *Estimate) PeerEnded(id ident.Incarnation) { delete(e.peerBases, id) }

// LocalTime is this VM's own view, without the peers: what to tell them. Telling them
// the median instead would let a wrong clock come back as everybody's opinion.
func (e *Estimate) LocalTime(now time.Duration) time.Time { return e.localBase.Add(now) }

// At is the estimated time of day at now.
func (e *Estimate) At(now time.Duration) time.Time {
	bases := make([]time.Time, 0, 1+len(e.peerBases))
	bases = append(bases, e.localBase)
	for _, b := range e.peerBases {
		bases = append(bases, b)
	}
	slices.SortFunc(bases, func(a, b time.Time) int { return a.Compare(b) })
	return bases[(len(bases)-1)/2].Add(now)
}
