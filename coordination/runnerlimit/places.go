package runnerlimit

import (
	"math"
	"time"
)

const (
	// growthPause is how long after a rejection no more requests are tried at a runner than
	// were there then.
	growthPause = 5 * time.Second
	// holdWeight is the weight of each request in the mean time that requests hold a place;
	// initialHold is that mean until then.
	holdWeight  = 0.1
	initialHold = 50 * time.Millisecond
	// foreignHold is how long requests count that were under way when this daemon began to
	// grant the places.
	foreignHold = time.Second
)

// places counts the requests that all daemons together have at a runner which bears few
// rejections, and learns how many it has room for. It begins with the runner's slots. Each
// rejection lowers the number to that of the requests that were not rejected; while all places are
// taken without a rejection, it rises slowly.
type places struct {
	room float64
	// held holds the leases of the places that are taken.
	held      map[uint64]lease
	lastLease uint64
	holdMean  time.Duration
	// growsFrom is the time before which room doesn't rise.
	growsFrom time.Duration
	queue     queue
}

type lease struct{ takenAt, expires time.Duration }

// Demand describes a request for a place at a runner.
type Demand struct {
	// Hold is the longest time for which the request may occupy the place.
	Hold time.Duration
	// Slots is the number of requests that the runner works on at the same time, Present the
	// number of requests that all daemons have there as far as is known otherwise.
	Slots, Present int
}

func newPlaces(now time.Duration, d Demand) *places {
	p := &places{room: float64(max(1, d.Slots)), held: map[uint64]lease{}, holdMean: initialHold}
	for range d.Present {
		p.hold(now, foreignHold)
	}
	return p
}

func (p *places) hold(now, limit time.Duration) uint64 {
	p.lastLease++
	p.held[p.lastLease] = lease{takenAt: now, expires: now + limit}
	return p.lastLease
}

// take takes a place, or returns the time after which to ask again.
func (p *places) take(now time.Duration, d Demand) (leaseID uint64, wait time.Duration) {
	for id, l := range p.held {
		if l.expires <= now {
			delete(p.held, id)
		}
	}
	if float64(len(p.held)) < math.Floor(p.room) {
		return p.hold(now, d.Hold), 0
	}
	interval := max(time.Millisecond, time.Duration(float64(p.holdMean)/p.room))
	return 0, p.queue.wait(now, interval, interval)
}

// giveBack returns a place. maxRejections is what the runner bears.
func (p *places) giveBack(now time.Duration, id uint64, rejected bool, maxRejections float64) {
	l, ok := p.held[id]
	if !ok {
		return
	}
	full := float64(len(p.held)) >= math.Floor(p.room)
	delete(p.held, id)
	if rejected {
		p.room = max(1, min(p.room, float64(len(p.held))))
		p.growsFrom = now + growthPause
		return
	}
	p.holdMean += time.Duration(holdWeight * float64(now-l.takenAt-p.holdMean))
	if full && now >= p.growsFrom && maxRejections >= 1 {
		p.room += 1 / p.room
	}
}
