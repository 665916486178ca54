package fairshare

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSpacing is the longest time between two callers that return, and applies while a class is hardly served: half a
	// second is what callers are asked to wait for anything that may pass at any moment.
	maxSpacing = 500 * time.Millisecond
	// minSpacing is the shortest one.
	minSpacing = time.Millisecond
	// MaxReturnTime is the longest time after which a caller is asked to return. Hardly any has a deadline so late that a
	// third of its time is longer.
	MaxReturnTime = 30 * time.Second
	// placeMemory is how long after its time a place is kept for a caller that returns late.
	placeMemory = 10 * time.Second
	// maxPlaces bounds the places in the table; one takes about 50 bytes.
	maxPlaces = 8192
	// returnTolerance is how much earlier than its time a request may return: the times of other daemons' places are
	// known up to the delay of a message.
	returnTolerance = 50 * time.Millisecond
	// MaxAnnounced is the number of places in a message, and announceRepeats the number of messages that tell of
	// each. maxQueued bounds the places that wait to be told.
	MaxAnnounced    = 16
	announceRepeats = 3
	maxQueued       = 8 * MaxAnnounced
)

// Schedule gives the refused requests of one class times of their own at which to return to a daemon.
type Schedule struct {
	served decayingSum
	// last is the latest time that was given to a caller that will honour it, beyond the latest given to others.
	last, beyond time.Duration
}

// Served records that the answer to a request of the class has begun.
func (s *Schedule) Served(now time.Duration) { s.served.add(now, 1) }

func (s *Schedule) spacing(now time.Duration) time.Duration {
	perSecond := max(s.served.perSecond(now), 1/maxSpacing.Seconds())
	return max(minSpacing, time.Duration(float64(time.Second)/perSecond))
}

// Next returns the time at which a request that is refused now should return. It isn't before earliest, nor before the
// time of any request that was refused earlier and has a place. The caller honours it if it isn't later than honoured. It has
// a place then, so kept is true. Other requests take no place away; their times differ as well, so that they
// don't return all at once.
func (s *Schedule) Next(now, earliest, honoured time.Duration) (at time.Duration, kept bool) {
	spacing := s.spacing(now)
	at = max(earliest, s.last+spacing)
	if at <= honoured {
		s.last = at
		return at, true
	}
	if s.beyond-now > MaxReturnTime {
		s.beyond = 0
	}
	at = max(at, s.beyond+spacing)
	s.beyond = at
	return at, false
}

// Places holds the requests that were refused lately, with the times at which they may return.
type Places struct{ byRequest map[uint64]time.Duration }

// NewPlaces returns a table without places.
func NewPlaces() *Places { return &Places{byRequest: map[uint64]time.Duration{}} }

// Len returns the number of places.
func (p *Places) Len() int { return len(p.byRequest) }

// Add records the place of a request by the hash of its content, and reports whether the request had none. If it had
// one, the earlier time holds.
func (p *Places) Add(now time.Duration, request uint64, at time.Duration) bool {
	if request == 0 || at < now-placeMemory || at > now+MaxReturnTime {
		return false
	}
	known, ok := p.byRequest[request]
	if ok {
		p.byRequest[request] = min(known, at)
		return false
	}
	if len(p.byRequest) >= maxPlaces {
		return false
	}
	p.byRequest[request] = at
	return true
}

// At returns the time at which a request may return, and false if it has no place.
func (p *Places) At(request uint64) (time.Duration, bool) {
	at, ok := p.byRequest[request]
	return at, ok
}

// Take uses up the place of a request that has returned at its time or later. It returns false if it has none or
// has returned too early.
func (p *Places) Take(now time.Duration, request uint64) bool {
	at, ok := p.byRequest[request]
	if !ok || now < at-returnTolerance || now > at+placeMemory {
		return false
	}
	delete(p.byRequest, request)
	return true
}

// Expire drops the places of callers that haven't returned.
func (p *Places) Expire(now time.Duration) {
	for request, at := range p.byRequest {
		if now > at+placeMemory {
			delete(p.byRequest, request)
		}
	}
}

// Place is a place that is told to other daemons.
type Place struct {
	Request uint64
	At      time.Duration
}

// Announcements holds the places that are still to be told to one group of daemons.
type Announcements struct {
	queue []announcement
}

type announcement struct {
	Place
	sent int
}

// Add queues a place. If there is no room, one that was told already makes way, or the latest.
func (a *Announcements) Add(p Place) {
	a.queue = append(a.queue, announcement{Place: p})
	if len(a.queue) > maxQueued {
		a.sort()
		a.queue = a.queue[:maxQueued]
	}
}

// sort puts the places that were told least often first.
func (a *Announcements) sort() {
	slices.SortStableFunc(a.queue, func(x, y announcement) int { return cmp.Compare(x.sent, y.sent) })
}

// Next returns the places for the next message.
func (a *Announcements) Next(now time.Duration) []Place {
	a.queue = slices.DeleteFunc(a.queue, func(q announcement) bool { return now > q.At+placeMemory })
	a.sort()
	var next []Place
	for i := range a.queue[:min(MaxAnnounced, len(a.queue))] {
		next = append(next, a.queue[i].Place)
		a.queue[i].sent++
	}
	a.queue = slices.DeleteFunc(a.queue, func(q announcement) bool { return q.sent == announceRepeats })
	return next
}
