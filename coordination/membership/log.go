package membership

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/state/ident"
)

// record is one row of the table with its place in the log.
type record struct {
	member *Member
	vm     *VM
	seq    uint64
	// from is the peer that the last change came from; it needs no echo.
	from ident.Incarnation
	hash uint64
	// failures counts failed calls in a row; local, never sent.
	failures int
	// missed counts lists without the VM; -1 until this daemon's own list had it.
	missed int
	// known is when the VM was first heard of here.
	known time.Time
}

type logEntry struct {
	seq uint64
	key string
}

// changeLog orders the records by their last change and keeps the digest.
type changeLog struct {
	records map[string]*record
	entries []logEntry
	seq     uint64
	digest  uint64
}

func newChangeLog() *changeLog { return &changeLog{records: map[string]*record{}} }

// touch puts the record at the log's end.
func (l *changeLog) touch(key string, from ident.Incarnation) {
	r := l.records[key]
	l.digest ^= r.hash
	r.hash = r.digest(key)
	l.digest ^= r.hash
	l.seq++
	r.seq = l.seq
	r.from = from
	l.entries = append(l.entries, logEntry{l.seq, key})
	if len(l.entries) > 2*len(l.records)+MaxChanges {
		l.compact()
	}
}

// remove drops a record; peers drop theirs by its age.
func (l *changeLog) remove(key string) {
	if r, ok := l.records[key]; ok {
		l.digest ^= r.hash
		delete(l.records, key)
	}
}

func (l *changeLog) compact() {
	kept := l.entries[:0]
	for _, e := range l.entries {
		if r, ok := l.records[e.key]; ok && r.seq == e.seq {
			kept = append(kept, e)
		}
	}
	l.entries = kept
}

// changedAfter lists at most limit records changed later than seq, without those that
// came from the peer, and the position that the list reaches.
func (l *changeLog) changedAfter(seq uint64, peer ident.Incarnation, limit int) ([]*record, uint64) {
	start := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].seq > seq })
	var found []*record
	for _, e := range l.entries[start:] {
		r, ok := l.records[e.key]
		if !ok || r.seq != e.seq || r.from == peer {
			continue
		}
		if len(found) == limit {
			return found, found[limit-1].seq
		}
		found = append(found, r)
	}
	return found, l.seq
}

// digest hashes what has to be the same everywhere. The version of a final
// state is left out: it depends on who concluded it.
func (r *record) digest(key string) uint64 {
	text := key
	if r.member != nil {
		text += "\x00" + string(r.member.State)
	}
	if r.member != nil && stateRank(r.member.State) == 0 {
		text += "\x00" + strconv.FormatUint(r.member.Version, 10)
	}
	if r.vm != nil {
		text += "\x00" + strconv.Itoa(int(r.vm.State)) + "\x00" + r.vm.Service
	}
	return xxhash.Sum64String(text)
}
