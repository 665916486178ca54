package membership

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/state/ident"
)

// record is one row of the table, with the sequence number of its last change in the log.
type record struct {
	member *Member
	vm     *VM
	seq    uint64
	// from is the peer that sent the last change; the change is not sent back to it.
	from ident.Incarnation
	hash uint64
	// failedCalls counts consecutive failed calls to the daemon. It is local and never sent.
	failedCalls int
	// missedLists counts consecutive VM lists without the VM. It is -1 until the VM has been in
	// a list that this daemon read.
	missedLists int
	// learnedAt is when this daemon first learned of the VM from any source.
	learnedAt time.Time
}

type logEntry struct {
	seq uint64
	key string
}

// changeLog orders the records by their last change and maintains a digest of all of them.
type changeLog struct {
	records map[string]*record
	entries []logEntry
	seq     uint64
	digest  uint64
}

func newChangeLog() *changeLog { return &changeLog{records: map[string]*record{}} }

// touch moves the record to the end of the log, as changed by a message of the peer from
// or, if from is empty, by this daemon, and updates the digest.
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

// remove drops a record. Removals are not sent: each peer drops its own copy after
// ForgetAfter.
func (l *changeLog) remove(key string) {
	if r, ok := l.records[key]; ok {
		l.digest ^= r.hash
		delete(l.records, key)
	}
}

func (l *changeLog) compact() {
	current := l.entries[:0]
	for _, e := range l.entries {
		if r, ok := l.records[e.key]; ok && r.seq == e.seq {
			current = append(current, e)
		}
	}
	l.entries = current
}

// changedAfter returns at most limit records that changed after seq, except those whose
// last change came from the peer, and the log position up to which the result is complete.
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

// digest hashes the parts of a record that must agree at all daemons. The version is left
// out for leaving and gone members because it depends on which daemon set the state.
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
