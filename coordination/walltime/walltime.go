// Package walltime keeps an estimate of the true time of day that does not jump with this
// VM's clock.
//
// The clocks of most VMs are close to the true time of day at most times, but the clocks of
// some may jump by seconds and back. So the clock is read only once, at the start; from
// then on the estimate advances with the monotonic clock. The estimate is the median of
// this daemon's and its peers' estimates. This corrects a daemon that started during a
// jump, and a few wrong clocks don't move the median.
package walltime

import (
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Estimate is one daemon's estimate of the time of day. It is not safe for concurrent use.
type Estimate struct {
	// localBase is the time of day at offset zero of the monotonic clock, computed from
	// this VM's clock at the start. peerBases holds the same time computed from each
	// peer's last message.
	localBase time.Time
	peerBases map[ident.Incarnation]time.Time
}

// New returns an estimate that starts from wall, this VM's clock read at offset now of the
// monotonic clock.
func New(wall time.Time, now time.Duration) *Estimate {
	return &Estimate{localBase: wall.Add(-now).Round(0), peerBases: map[ident.Incarnation]time.Time{}}
}

// Receive stores a peer's estimate of the time of day, received at now.
func (e *Estimate) Receive(id ident.Incarnation, peerTime time.Time, now time.Duration) {
	e.peerBases[id] = peerTime.Add(-now)
}

// PeerEnded removes the estimate of a peer.
func (e *Estimate) PeerEnded(id ident.Incarnation) { delete(e.peerBases, id) }

// LocalTime returns the estimate from this VM's own clock without the peers, which a
// daemon sends to its peers. If daemons sent the median instead, a wrong clock at one of
// them would influence the estimates that come back to it.
func (e *Estimate) LocalTime(now time.Duration) time.Time { return e.localBase.Add(now) }

// At returns the estimated time of day at now.
func (e *Estimate) At(now time.Duration) time.Time {
	bases := make([]time.Time, 0, 1+len(e.peerBases))
	bases = append(bases, e.localBase)
	for _, b := range e.peerBases {
		bases = append(bases, b)
	}
	slices.SortFunc(bases, func(a, b time.Time) int { return a.Compare(b) })
	return bases[(len(bases)-1)/2].Add(now)
}
