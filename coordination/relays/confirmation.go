package relays

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/peers"
)

const (
	// ConfirmedFor is how long another relay's confirmation that this daemon is a relay is
	// valid: the time in which a relay sends several messages.
	ConfirmedFor = peers.RelayedAliveFor
	// aloneAfter is how long a daemon that becomes a relay waits for another relay's
	// confirmation before it assumes that it is the only relay. Until then it may not know
	// what the other daemons took from the quotas, and the others may not consider it a
	// relay.
	aloneAfter = 1500 * time.Millisecond
)

// Confirmation tracks whether other relays confirm that this daemon is a relay.
//
// A daemon elects relays from the daemons that it knows, which may be only a few of many.
// It may then find no relay in its failure domain to follow and consider itself a relay
// although no other relay counts it. The other relays divide the entire quotas among
// themselves, so this daemon must not use a share until one of them considers it a relay,
// too.
type Confirmation struct {
	// relaySince is when this daemon started to consider itself a relay, confirmedAt when
	// another relay last confirmed this. doubted is set if another relay has contradicted
	// it since the last confirmation.
	relaySince, confirmedAt time.Duration
	doubted                 bool
}

// Start resets the state: this daemon considers itself a relay from now on.
func (s *Confirmation) Start(now time.Duration) {
	*s = Confirmation{relaySince: now, confirmedAt: freshness.Never}
}

// RelaySince returns when this daemon started to consider itself a relay.
func (s *Confirmation) RelaySince() time.Duration { return s.relaySince }

// Receive records whether another relay considers this daemon a relay. It returns true for
// the first contradiction since the last confirmation.
func (s *Confirmation) Receive(now time.Duration, confirms bool) bool {
	switch {
	case confirms:
		s.confirmedAt, s.doubted = now, false
	case !s.doubted && !s.Confirmed(now):
		s.doubted = true
		return true
	}
	return false
}

// Confirmed reports whether another relay has recently confirmed this daemon as a relay.
func (s *Confirmation) Confirmed(now time.Duration) bool { return now-s.confirmedAt <= ConfirmedFor }

// MayShare reports whether this daemon may use one of the shares into which the relays
// divide the quotas. hearsRelay states that it hears another relay; a daemon that hears
// none may be the last relay.
func (s *Confirmation) MayShare(now time.Duration, hearsRelay bool) bool {
	return s.Confirmed(now) || !hearsRelay && now-s.relaySince >= aloneAfter
}
