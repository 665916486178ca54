package fleet

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// maxSilence is how long a daemon, or this one, may have heard nothing for its
// counts to go on. Five messages of a small fleet are then missing, or in a large one,
// which is told of more seldom, three.
const (
	maxSilence        = 600 * time.Millisecond
	maxRelayedSilence = 1600 * time.Millisecond
)

// Tally adds up what daemons count, each since its own start. A daemon that has been
// silent may have counted meanwhile, and taken at its word it would seem to have done
// in a moment what it did in seconds; one that is heard for the first time likewise,
// and all of them where this daemon was suspended. So the first word after a silence
// only says where the count goes on from. The total never falls. It is not safe for
// concurrent use.
type Tally struct {
	total       float64
	lastReading map[ident.Incarnation]reading
	relayed     bool
}

// reading is where a daemon's count stood.
type reading struct {
	at    time.Duration
	count float64
}

// SetRelayed says whether the counts are those of a large fleet.
func (t *Tally) SetRelayed(relayed bool) { t.relayed = relayed }

// Receive takes in a daemon's count.
func (t *Tally) Receive(now time.Duration, id ident.Incarnation, count float64) {
	if t.lastReading == nil {
		t.lastReading = map[ident.Incarnation]reading{}
	}
	silence := maxSilence
	if t.relayed {
		silence = maxRelayedSilence
	}
	if previous, ok := t.lastReading[id]; ok && now-previous.at <= silence {
		t.total += max(0, count-previous.count)
	}
	t.lastReading[id] = reading{now, count}
}

// PeerEnded forgets a daemon.
func (t *Tally) PeerEnded(id ident.Incarnation) { delete(t.lastReading, id) }

// Total is what all of them have counted while they were heard.
func (t *Tally) Total() float64 { return t.total }
