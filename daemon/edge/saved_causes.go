package edge

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/quarantine"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// What the daemons know of the causes under which runners fail is lost if all of them are lost at once, and runners would
// have to fail again for it. So the daemon that saves the streams, too, keeps it in the key-value service, where daemons
// that start read it. On a day without such causes nothing is written.

const (
	savedCausesKey = "failure-causes"
	// causeSaveInterval is the least time between two writes of savedCausesKey.
	causeSaveInterval = time.Second
	// maxSavedCauses bounds the value of savedCausesKey.
	maxSavedCauses = 256
	// loadCausesInterval is the time between two attempts to read what is saved.
	loadCausesInterval = 200 * time.Millisecond
)

// savedCauses is the value of savedCausesKey.
type savedCauses struct {
	// WrittenMillis is the Unix time to which the ages in News refer, which is an encoded peersv1.CauseNews.
	WrittenMillis int64  `json:"written_unix_ms"`
	News          []byte `json:"news"`
}

// causeSaver is what the saver knows of the saved causes. Only runStreamSaver uses it.
type causeSaver struct {
	// known says that revision is that of the key, and written is what this daemon has written there.
	known    bool
	revision kv.Revision
	written  []quarantine.Statement
	triedAt  time.Duration
	// history is that of the key-value service in which this is so; a later one may lack what was written.
	history uint64
}

// saveCauses writes the causes that aren't sound by all that is known, if they have changed and that is this daemon's task.
func (e *Edge) saveCauses(ctx context.Context) {
	s := &e.causeSaver
	now := e.deps.Steady()
	history := kv.Revision(e.dir.revisionReached()).History()
	isSaver := e.shouldSaveCounts(now)
	if !isSaver || history != s.history {
		*s = causeSaver{history: history}
	}
	if !isSaver {
		return
	}
	if now-s.triedAt < causeSaveInterval {
		return
	}
	causes := e.failureCauses.unsound(now)
	if slices.EqualFunc(causes, s.written, quarantine.Statement.SaysSameAs) {
		return
	}
	s.triedAt = now
	if !s.known && !e.readCausesAsSaver(ctx) {
		return
	}
	// What has just been read counts, too.
	causes = e.failureCauses.unsound(now)
	if err := e.writeCauses(ctx, now, causes); err != nil {
		s.known = false
		e.log.Note("causes_unsaved", decisions.F("causes", len(causes)), decisions.F("error", err.Error()))
		return
	}
	s.written = causes
	e.log.Note("causes_saved", decisions.F("causes", len(causes)))
	e.log.Count("failure_causes.saved")
}

// unsound lists the causes that are suspected or quarantined, at most maxSavedCauses of them.
func (f *failureCauses) unsound(now time.Duration) []quarantine.Statement {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.Len() == 0 {
		return nil
	}
	var causes []quarantine.Statement
	for _, s := range f.table.Statements() {
		if len(causes) < maxSavedCauses && f.table.Verdict(now, s.Cause) != quarantine.Sound {
			s.Failures = slices.Clone(s.Failures)
			causes = append(causes, s)
		}
	}
	return causes
}

func (e *Edge) writeCauses(ctx context.Context, now time.Duration, causes []quarantine.Statement) error {
	news := &peersv1.CauseNews{}
	for _, c := range causes {
		news.Causes = append(news.Causes, encodeCause(now, c))
	}
	encoded, err := proto.Marshal(news)
	if err != nil {
		return err
	}
	data, err := json.Marshal(savedCauses{e.timeOfDay(now).UnixMilli(), encoded})
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.causeSaver.revision, err = e.deps.Store.CompareAndSwap(callCtx, savedCausesKey, e.causeSaver.revision, data, 0)
	return err
}

// readCausesAsSaver takes up what another daemon has saved, and the revision at which to write over it.
func (e *Edge) readCausesAsSaver(ctx context.Context) bool {
	entry, err := e.readSavedCauses(ctx)
	if err != nil {
		return false
	}
	e.causeSaver.known, e.causeSaver.revision = true, entry.Revision
	return true
}

// loadSavedCauses takes up what is saved at the start of a daemon of a fleet that has served. Followers of relays are told
// by these.
func (e *Edge) loadSavedCauses(ctx context.Context) {
	if !e.awaitServedFleet(ctx) {
		return
	}
	for e.shouldRegister() {
		if _, err := e.readSavedCauses(ctx); err == nil || !pause.For(ctx, loadCausesInterval) {
			return
		}
	}
}

// readSavedCauses reads and takes up what is saved. A value that can't be decoded is ignored.
func (e *Edge) readSavedCauses(ctx context.Context) (kv.Entry, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := e.deps.Store.Get(callCtx, savedCausesKey)
	if err != nil || entry.Revision == 0 {
		return entry, err
	}
	var saved savedCauses
	news := &peersv1.CauseNews{}
	if err := errors.Join(json.Unmarshal(entry.Value, &saved), proto.Unmarshal(saved.News, news)); err != nil {
		e.log.Note("causes_unreadable", decisions.F("error", err.Error()))
		return entry, nil
	}
	now := e.deps.Steady()
	age := max(0, e.timeOfDay(now).Sub(time.UnixMilli(saved.WrittenMillis)))
	for _, c := range news.Causes {
		addAge(c, age)
	}
	changed := e.receiveCauses(news.Causes)
	e.log.Note("causes_loaded", decisions.F("causes", len(news.Causes)), decisions.F("new", len(changed)), decisions.F("age", age))
	return entry, nil
}

// addAge makes what is said of a cause older.
func addAge(c *peersv1.CauseState, age time.Duration) {
	c.AnsweredAgeNs += int64(age)
	c.ProbedAgeNs += int64(age)
	for _, f := range c.Failures {
		f.AgeNs += int64(age)
		f.SentAgeNs += int64(age)
	}
}

func (e *Edge) timeOfDay(now time.Duration) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.wallClock.At(now)
}
