package edge

import "time"

// newsDelay is the time for which changes are collected into one message to other daemons: several
// requests see the same change, or a runner's failure, at the same moment.
const newsDelay = 20 * time.Millisecond

// news holds the keys of changes that are about to be told to other daemons; the value says that a relay
// told this daemon. Its owner's lock guards it.
type news[K comparable] map[K]bool

// add adds a change, and arranges for send to be called if it is the first one.
func (n news[K]) add(key K, byRelay bool, send func()) {
	if len(n) == 0 {
		time.AfterFunc(newsDelay, send)
	}
	// What this daemon has found out itself must reach the other relays, too.
	if pending, waits := n[key]; waits {
		byRelay = byRelay && pending
	}
	n[key] = byRelay
}

// takeNews encodes the changes that are waiting, and leaves none. encode returns false for one that is no longer
// to be told. own are those that no relay told this daemon, relayed all.
func takeNews[K comparable, M any](n news[K], encode func(K) (M, bool)) (own, relayed []M) {
	for key, byRelay := range n {
		m, told := encode(key)
		if !told {
			continue
		}
		if relayed = append(relayed, m); !byRelay {
			own = append(own, m)
		}
	}
	clear(n)
	return own, relayed
}
