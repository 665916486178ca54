package edge

import (
	"context"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/internal/pause"
)

// A daemon that has missed a version, because its watch is silent or it is cut off, takes the only one that it has seen
// for that of all streams. A version is saved before streams that may be resumed begin at it, so that a read of what is
// saved, sent after a caller has taken its stream up, shows the version that began it. The state of the configuration
// and the age of the copy prove nothing of that.

const (
	// versionReadSpacing is the least time between two reads of a daemon, and versionReadsPerSecond the greatest number
	// of reads of the whole fleet.
	versionReadSpacing    = 100 * time.Millisecond
	versionReadsPerSecond = 1000
)

// versionReads lets the requests that arrive at the same time share a read of the saved versions.
type versionReads struct {
	mu sync.Mutex
	// running is closed at the end of the present read; nil if there is none.
	running chan struct{}
	// sentAt is when the latest read was sent, and endedAt when it ended. saved is what it has found if ok.
	sentAt, endedAt time.Duration
	saved           savedVersions
	ok              bool
}

// isOnlyVersion reports whether the key-value service shows, now, that a service has had no version but the given one.
func (e *Edge) isOnlyVersion(ctx context.Context, service string, v canary.Version) bool {
	saved, ok := e.readSavedVersions(ctx)
	if !ok {
		return false
	}
	for _, other := range saved.Services[service] {
		if other != v {
			return false
		}
	}
	return true
}

// readSavedVersions returns the saved versions by a read that is sent after its call. It returns false if that fails, or if
// they may not be the last ones that were written.
func (e *Edge) readSavedVersions(ctx context.Context) (savedVersions, bool) {
	reads := &e.versionReads
	called := e.deps.Steady()
	for ctx.Err() == nil {
		reads.mu.Lock()
		if reads.running == nil && reads.sentAt > called {
			defer reads.mu.Unlock()
			return reads.saved, reads.ok
		}
		if reads.running == nil {
			reads.running = make(chan struct{})
			go e.runVersionRead(reads.endedAt)
		}
		running := reads.running
		reads.mu.Unlock()
		select {
		case <-running:
		case <-ctx.Done():
		}
	}
	return savedVersions{}, false
}

// runVersionRead reads the saved versions once that is due after the end of the last read.
func (e *Edge) runVersionRead(lastEndedAt time.Duration) {
	reads := &e.versionReads
	spacing := max(versionReadSpacing, time.Duration(e.fleetSize())*time.Second/versionReadsPerSecond)
	if lastEndedAt != 0 {
		pause.For(e.probing, lastEndedAt+spacing-e.deps.Steady())
	}
	ctx, cancel := context.WithTimeout(e.probing, confirmTimeout)
	defer cancel()
	// A call counts as later than the requests that wait for it.
	sent := e.deps.Steady() + 1
	entry, err := e.deps.Store.Get(ctx, savedVersionsKey)
	var saved savedVersions
	ok := false
	switch {
	case err != nil:
		e.log.Note("versions_unread", decisions.F("error", err.Error()))
	case entry.Revision != 0:
		saved, ok = e.noteSavedVersions(entry.Value)
		ok = ok && saved.History == entry.Revision.History()
	}
	reads.mu.Lock()
	defer reads.mu.Unlock()
	reads.sentAt, reads.endedAt, reads.saved, reads.ok = sent, max(1, e.deps.Steady()), saved, ok
	close(reads.running)
	reads.running = nil
}
