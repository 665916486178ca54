package fleet

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// maxSilence is the longest time between two messages of a daemon, by this daemon's clock,
// over which the daemon's counter is assumed to have grown continuously. In a small fleet,
// five messages are missing by then. In a large fleet, where messages are relayed and less
// frequent, maxRelayedSilence is used; three messages are missing by then.
const (
	maxSilence        = 600 * time.Millisecond
	maxRelayedSilence = 1600 * time.Millisecond
)

// Tally adds up the counters of other daemons, each of which counts from its own start. If
// a daemon has not been heard for longer than maxSilence, its next message only sets the
// value from which its counter continues. Otherwise all that the daemon counted in the
// meantime would seem to have happened in one moment. The same applies to a daemon that is
// heard for the first time, and to all daemons after this daemon was suspended. The total
// never falls. A Tally is not safe for concurrent use.
type Tally struct {
	total        float64
	lastReadings map[ident.Incarnation]counterReading
	viaRelays    bool
}

// counterReading is the value of a daemon's counter and the time at which this daemon
// received it.
type counterReading struct {
	at    time.Duration
	count float64
}

// SetViaRelays sets whether the counters arrive through relays, as in a large fleet.
func (t *Tally) SetViaRelays(viaRelays bool) { t.viaRelays = viaRelays }

// Receive adds the growth of a daemon's counter since the daemon's last message. It adds
// nothing for the first message of a daemon and for the first one after a silence of more
// than maxSilence, or maxRelayedSilence if counters arrive through relays.
func (t *Tally) Receive(now time.Duration, id ident.Incarnation, count float64) {
	if t.lastReadings == nil {
		t.lastReadings = map[ident.Incarnation]counterReading{}
	}
	maxGap := maxSilence
	if t.viaRelays {
		maxGap = maxRelayedSilence
	}
	if previous, ok := t.lastReadings[id]; ok && now-previous.at <= maxGap {
		t.total += max(0, count-previous.count)
	}
	t.lastReadings[id] = counterReading{now, count}
}

// PeerEnded removes a daemon's counter. The total stays.
func (t *Tally) PeerEnded(id ident.Incarnation) { delete(t.lastReadings, id) }

// Total returns the sum of the growth of all counters, without their growth during a
// silence.
func (t *Tally) Total() float64 { return t.total }
