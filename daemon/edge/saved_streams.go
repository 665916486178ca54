package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/streamversion"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// What the daemons know of the streams' versions is lost if all of them are lost at once. So one daemon, the
// saver, which also saves the usage counts, keeps it in the key-value service, and daemons that start read
// it there: which versions the services have had lately, and the records of the streams of services that
// have had several. The other daemons send the saver their records, followers by their relays.

const (
	// savedStreamsPrefix is the prefix of all keys with what is saved.
	savedStreamsPrefix = "streams/"
	// streamSaveInterval is the time between two times at which what has changed is written, or less once maxUnwritten records
	// wait, which would be lost with the daemons.
	streamSaveInterval = 400 * time.Millisecond
	maxUnwritten       = 12
	// maxSaveTries is how often it is tried at once if another daemon has written meanwhile, as the former saver does
	// until it has heard of this one.
	maxSaveTries = 3
	// loadStreamsInterval is the time between two attempts to read what is saved.
	loadStreamsInterval = 200 * time.Millisecond
)

// streamSaver holds the records that this daemon has not handed to the saver, and what it needs as the saver.
type streamSaver struct {
	// The fields up to the empty line are guarded by streamVersions.mu.
	records map[streamversion.Stream]canary.Version
	saved   *streamversion.Saved
	// versionsSaved are the services' versions that savedVersionsKey lists, as far as this daemon knows;
	// firstSeen says since when their present runners have had their versions.
	versionsSaved map[string][]canary.Version
	firstSeen     map[string]map[canary.Version]time.Duration

	// wakeup is signalled when it may be time to save.
	wakeup wakeup
	// passedOnAt is used by tickLoop only, all below by runStreamSaver only. loaded says that revisions holds
	// those of the keys, as they were read or written last.
	// conflicted says that the last write failed because another daemon had written.
	passedOnAt time.Duration
	loaded     bool
	conflicted bool
	revisions  map[string]kv.Revision
	versions   savedVersions
	savedAt    time.Duration
}

func (s *streamSaver) init() {
	s.records = map[streamversion.Stream]canary.Version{}
	s.saved = streamversion.NewSaved()
	s.firstSeen = map[string]map[canary.Version]time.Duration{}
	s.wakeup = newWakeup()
}

// runStreamSaver saves streams, and what makes runners fail, while that is this daemon's task. It doesn't wait for the other duties, whose calls to a cloud
// that is slow or away take longer than streams last.
func (e *Edge) runStreamSaver(ctx context.Context) {
	for e.streams.saver.wakeup.wait(ctx) {
		e.saveStreams(ctx)
		e.saveCauses(ctx)
	}
}

// saveStreams writes what has changed, if that is due and this daemon's task. A daemon that isn't the saver any more writes
// the records that it took up as the saver, as no other daemon will.
func (e *Edge) saveStreams(ctx context.Context) {
	saver := &e.streams.saver
	now := e.deps.Steady()
	isSaver, unwritten := e.shouldSaveCounts(now), e.streams.unwritten()
	if !isSaver && unwritten == 0 {
		saver.loaded = false // another daemon writes the keys from now on
		return
	}
	// After a failed call nothing is loaded.
	isUrgent := unwritten >= maxUnwritten && saver.loaded
	if now-saver.savedAt < streamSaveInterval && !isUrgent {
		return
	}
	saver.savedAt = now
	for range maxSaveTries {
		if !saver.loaded {
			saver.loaded = e.readSavedStreams(ctx)
		}
		if !saver.loaded || (!isSaver || e.writeSavedVersions(ctx)) && e.writeSavedRecords(ctx) {
			return
		}
		saver.loaded = false
		if !saver.conflicted {
			return
		}
	}
}

// unwritten returns the number of records that this daemon has taken up as the saver and not written.
func (v *streamVersions) unwritten() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.saver.saved.Unwritten()
}

// writeSavedRecords writes all parts of the records that have grown, the newest first, whose streams are the likeliest to
// be taken up; false if that failed. There are several after the service was away.
func (e *Edge) writeSavedRecords(ctx context.Context) bool {
	for {
		number, data := e.takeSavedPart()
		if data == nil {
			return true
		}
		if !e.writeSaved(ctx, savedRecordsKey(number), data) {
			e.streams.mu.Lock()
			defer e.streams.mu.Unlock()
			e.streams.saver.saved.Retry(number)
			return false
		}
	}
}

// takeSavedPart returns the newest part of the records that has grown, encoded; nil if none has.
func (e *Edge) takeSavedPart() (number int64, data []byte) {
	e.streams.mu.Lock()
	defer e.streams.mu.Unlock()
	part := e.streams.saver.saved.TakeChanged()
	if part == nil {
		return 0, nil
	}
	data, err := json.Marshal(part)
	if err != nil {
		e.log.Note("streams_unsaved", decisions.F("key", savedRecordsKey(part.Number)), decisions.F("error", err.Error()))
	}
	return part.Number, data
}

func savedRecordsKey(part int64) string {
	return fmt.Sprintf("%s%d", savedStreamsPrefix, part%streamversion.SavedParts)
}

// writeSaved writes a key of savedStreamsPrefix; false if that failed, so that the keys have to be read again.
func (e *Edge) writeSaved(ctx context.Context, key string, data []byte) bool {
	saver := &e.streams.saver
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := e.deps.Store.CompareAndSwap(callCtx, key, saver.revisions[key], data, 0)
	var conflict *kv.ConflictError
	saver.conflicted = errors.As(err, &conflict)
	if err != nil {
		e.log.Note("streams_unsaved", decisions.F("key", key), decisions.F("conflict", saver.conflicted), decisions.F("error", err.Error()))
		return false
	}
	saver.revisions[key] = revision
	e.log.Count("streams.saved")
	return true
}

// loadSavedStreams reads what is saved at the start of a daemon of a fleet that has served. The daemons that are asked
// about streams need it, which relays are.
func (e *Edge) loadSavedStreams(ctx context.Context) {
	if !e.awaitServedFleet(ctx) {
		return
	}
	for e.deps.Steady()-e.startedAt < streamversion.Memory {
		if entries, ok := e.listSavedStreams(ctx); ok {
			e.applySavedStreams(entries)
			return
		}
		if !pause.For(ctx, loadStreamsInterval) {
			return
		}
	}
}

// listSavedStreams returns false if this daemon doesn't read the saved keys now.
func (e *Edge) listSavedStreams(ctx context.Context) ([]kv.Entry, bool) {
	if !e.shouldRegister() {
		return nil, false
	}
	callCtx, cancel := context.WithTimeout(ctx, kv.DefaultCallTimeout)
	defer cancel()
	entries, err := e.deps.Store.List(callCtx, savedStreamsPrefix, "", 1+streamversion.SavedParts)
	return entries, err == nil
}

// readSavedStreams reads the saved keys as their new writer; false if that failed.
func (e *Edge) readSavedStreams(ctx context.Context) bool {
	entries, ok := e.listSavedStreams(ctx)
	if !ok {
		return false
	}
	e.applySavedStreams(entries)
	saver := &e.streams.saver
	saver.versions, saver.revisions = savedVersions{}, make(map[string]kv.Revision, len(entries))
	e.streams.mu.Lock()
	defer e.streams.mu.Unlock()
	for _, entry := range entries {
		saver.revisions[entry.Key] = entry.Revision
		if entry.Key == savedVersionsKey && json.Unmarshal(entry.Value, &saver.versions) != nil {
			saver.versions = savedVersions{}
		}
		if part := decodeSavedPart(entry); part != nil {
			saver.saved.Merge(part)
		}
	}
	return true
}

// applySavedStreams takes up what is saved. Values that can't be decoded are ignored, and written over.
func (e *Edge) applySavedStreams(entries []kv.Entry) {
	now := e.deps.Steady()
	records := 0
	versions := decisions.F("versions", false)
	for _, entry := range entries {
		if entry.Key == savedVersionsKey {
			versions = decisions.F("versions", e.applySavedVersions(now, entry))
			continue
		}
		part := decodeSavedPart(entry)
		if part == nil {
			continue
		}
		for s, v := range part.Records() {
			e.putStream(s, v, fromSaved)
			records++
		}
	}
	e.log.Note("streams_loaded", decisions.F("records", records), versions, decisions.F("after", now-e.startedAt))
}

// decodeSavedPart returns nil for an entry that holds no records.
func decodeSavedPart(entry kv.Entry) *streamversion.SavedPart {
	var p streamversion.SavedPart
	if entry.Key == savedVersionsKey || json.Unmarshal(entry.Value, &p) != nil {
		return nil
	}
	return &p
}
