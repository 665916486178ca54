// Package streamversion keeps streams at the software version that began them. What runners of two
// versions write doesn't fit together, and a caller may take up its stream at any daemon.
//
// The daemon that passes a stream's first event on records the runner's version, and sends the record
// to the first Copies holders, the daemons that a hash of the stream ranks first, or to the next ones
// in place of those that don't acknowledge it. A daemon that is
// asked to go on with a stream that it doesn't know asks the first Asked holders. It needs no record
// if it knows that the service's runners have had only one version for as long as a stream may last;
// see History.
//
// The package does no I/O and reads no clock: times are offsets of a monotonic clock. Its types are not
// safe for concurrent use.
package streamversion

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// Memory is how long a record is kept at least. It is longer than a stream lasts together with
	// its caller's further requests for it.
	Memory = time.Minute
	// Copies is the number of other daemons that are sent a record.
	Copies = 3
	// MaxSends is how often a copy is sent, each time to a holder that ranks lower, until one
	// acknowledges it.
	MaxSends = 2
	// Asked is the number of holders that are first asked for a record. The daemon that sent it may
	// rank before the copies, and a daemon that has started since may, too. MaxHolders is the number
	// of those that may have it at all.
	Asked      = Copies + 2
	MaxHolders = Copies*MaxSends + 1
	// maxRecords bounds the records of one generation.
	maxRecords = 100_000
)

// Stream identifies a stream by a hash of its service and of the ID of the request that brought its
// first event.
type Stream uint64

// StreamOf returns the identifier of the stream that a request to a service began.
func StreamOf(service, request string) Stream {
	return Stream(xxhash.Sum64String(service + "\x00" + request))
}

// Records holds the versions of streams. Records move to an older generation when Memory has passed or
// the newer one is full, and are forgotten with the next move.
type Records struct {
	newer, older map[Stream]canary.Version
	movedAt      time.Duration
	// versions holds one copy of each version's name, since records arrive in messages.
	versions map[canary.Version]canary.Version
}

// NewRecords returns an empty table of records.
func NewRecords() *Records {
	return &Records{newer: map[Stream]canary.Version{}, versions: map[canary.Version]canary.Version{}}
}

// Put records the version of a stream, and returns the one that is recorded then. A record that is there
// already is kept longer; its version remains, because it is that of the first event.
func (r *Records) Put(now time.Duration, s Stream, v canary.Version) canary.Version {
	r.move(now)
	if before, known := r.Get(now, s); known {
		v = before
	}
	if shared, known := r.versions[v]; known {
		v = shared
	} else {
		r.versions[v] = v
	}
	r.newer[s] = v
	return v
}

// Get returns the version of a stream, or false if it isn't known.
func (r *Records) Get(now time.Duration, s Stream) (canary.Version, bool) {
	r.move(now)
	if v, known := r.newer[s]; known {
		return v, true
	}
	v, known := r.older[s]
	return v, known
}

func (r *Records) move(now time.Duration) {
	age := now - r.movedAt
	if age < Memory && len(r.newer) < maxRecords {
		return
	}
	r.older, r.newer, r.movedAt = r.newer, map[Stream]canary.Version{}, now
	if age >= 2*Memory {
		r.older = nil
	}
	clear(r.versions)
}

// Rank sorts daemons by their rank for a key, such as that of holders of a stream's record. The rank
// depends on the daemons' IDs only, so that a daemon that starts again has the rank that it had.
func Rank(key uint64, daemons []ident.DaemonID) {
	suffix := "\x00" + strconv.FormatUint(key, 16)
	ranks := make(map[ident.DaemonID]uint64, len(daemons))
	for _, id := range daemons {
		ranks[id] = xxhash.Sum64String(string(id) + suffix)
	}
	slices.SortFunc(daemons, func(a, b ident.DaemonID) int {
		return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(a, b))
	})
}
