package streamversion_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/streamversion"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/state/ident"
)

// For any times and order of records, a stream has the version of its first record or none, and a
// record is there for Memory after it was last put.
func TestRecordsKeepTheFirstVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := streamversion.NewRecords()
		first, put := map[streamversion.Stream]canary.Version{}, map[streamversion.Stream]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second
			s := streamversion.Stream(rapid.Uint64Range(1, 5).Draw(t, "stream"))
			v, known := r.Get(now, s)
			if before, there := put[s]; there && now-before < streamversion.Memory && !known {
				t.Fatalf("record of %d is lost after %v", s, now-before)
			}
			if known && v != first[s] {
				t.Fatalf("version %q instead of %q", v, first[s])
			}
			if rapid.Bool().Draw(t, "put") {
				version := canary.Version(fmt.Sprintf("v%d", rapid.IntRange(1, 2).Draw(t, "version")))
				if !known {
					first[s] = version
				}
				r.Put(now, s, version)
				put[s] = now
			}
		}
	})
}

// Guards against memory that grows with the number of streams.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	r := streamversion.NewRecords()
	const streams = 500_000
	for s := range streamversion.Stream(streams) {
		r.Put(0, s, "v1")
	}
	known := 0
	for s := range streamversion.Stream(streams) {
		if _, ok := r.Get(0, s); ok {
			known++
		}
	}
	is.True(known > 0 && known <= 200_000)
}

// For any course of runners of two versions and any daemons that start and tell each other, a daemon
// that names the only version of a service is right about all of Memory.
func TestOnlyVersionIsNeverGuessed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const service, step = "app", 5 * time.Second
		start := time.Duration(rapid.IntRange(0, 100).Draw(t, "start")) * time.Second
		daemons := make([]*streamversion.History, 3)
		for i := range daemons {
			daemons[i] = streamversion.NewHistory(start, true)
		}
		seen := map[canary.Version]time.Duration{}
		for now := start; now < start+4*streamversion.Memory; now += step {
			present := rapid.SampledFrom([][]canary.Version{{"v1"}, {"v1"}, {"v1"}, {"v1"}, {"v2"}, {"v1", "v2"}}).Draw(t, "versions")
			for _, v := range present {
				seen[v] = now
			}
			restarted := -1
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				restarted = rapid.IntRange(0, 2).Draw(t, "daemon")
				daemons[restarted] = streamversion.NewHistory(now, false)
			}
			for _, d := range daemons {
				for _, v := range present {
					d.Observe(now, service, v)
				}
			}
			for i, d := range daemons {
				for j, other := range daemons {
					if i != j && rapid.Bool().Draw(t, "hears") {
						d.Merge(now, other.Statement(now))
					}
				}
			}
			for _, d := range daemons {
				v, known := d.Only(now, service)
				if !known {
					continue
				}
				for other, at := range seen {
					if other != v && now-at < streamversion.Memory {
						t.Fatalf("%q counts as the only version %v after there was %q", v, now-at, other)
					}
				}
			}
		}
	})
}

// Guards against streams that are refused although the service has had one version all the while, and
// against a memory of another version that never ends.
func TestOnlyVersionIsKnownAgain(t *testing.T) {
	is := is.New(t)
	h := streamversion.NewHistory(0, true)
	h.Observe(0, "app", "v1")
	v, known := h.Only(0, "app")
	is.True(known && v == "v1")
	h.Observe(time.Second, "app", "v1")
	h.Observe(time.Second, "app", "v2")
	_, known = h.Only(time.Second, "app")
	is.True(!known)
	later := time.Second + streamversion.Memory
	h.Observe(later, "app", "v2")
	v, known = h.Only(later, "app")
	is.True(known && v == "v2")
}

// Guards against records that nobody finds: those who send a record and those who ask for it, of which
// any may be among its holders, must meet at one daemon, also after some have ended and started again.
func TestAskedHoldersKeepACopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 20).Draw(t, "daemons")
		s := rapid.Uint64().Draw(t, "stream")
		var all []ident.DaemonID
		for i := range n {
			all = append(all, ident.DaemonID(fmt.Sprintf("d%d", i)))
		}
		streamversion.Rank(s, all)
		sender := rapid.SampledFrom(all).Draw(t, "sender")
		copies := map[ident.DaemonID]bool{}
		for _, id := range all {
			if id != sender && len(copies) < streamversion.Copies {
				copies[id] = true
			}
		}
		want := min(streamversion.Copies, n-1)
		found := 0
		for _, id := range all[:min(streamversion.Asked, n)] {
			if copies[id] {
				found++
			}
		}
		if found != want {
			t.Fatalf("%d of %d copies are found", found, want)
		}
	})
}

// For any records that savers add, write and take over from each other, what is stored holds each record that was
// written, at its version, as long as a stream may last.
func TestSavedRecordsOutliveTheirSavers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := map[int64]*streamversion.SavedPart{}
		written := map[streamversion.Stream]time.Time{}
		saver := streamversion.NewSaved()
		now := time.UnixMilli(1_000_000)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			stream := streamversion.Stream(rapid.Uint64Range(1, 50).Draw(t, "stream"))
			version := canary.Version(fmt.Sprintf("v%d", stream%3))
			saver.Add(now, stream, version)
			if rapid.IntRange(0, 9).Draw(t, "another saver") == 0 {
				saver = streamversion.NewSaved()
				for _, part := range stored {
					saver.Merge(part)
				}
			}
			for part := saver.TakeChanged(); part != nil && rapid.Bool().Draw(t, "write"); part = saver.TakeChanged() {
				stored[part.Number%streamversion.SavedParts] = copyOf(part)
				for s := range part.Records() {
					written[s] = now
				}
			}
		}
		found := map[streamversion.Stream]canary.Version{}
		for _, part := range stored {
			for s, v := range part.Records() {
				found[s] = v
			}
		}
		for s, at := range written {
			kept := now.Sub(at) < (streamversion.SavedParts-1)*streamversion.PartLength
			if v := canary.Version(fmt.Sprintf("v%d", s%3)); kept && found[s] != v {
				t.Fatalf("stream %d, written %v ago, is stored at %q", s, now.Sub(at), found[s])
			}
		}
	})
}

func copyOf(p *streamversion.SavedPart) *streamversion.SavedPart {
	c := &streamversion.SavedPart{Number: p.Number, Streams: map[canary.Version][]byte{}}
	for v, streams := range p.Streams {
		c.Streams[v] = append([]byte{}, streams...)
	}
	return c
}

// For any course of versions, starts of daemons and losses of all of them, a daemon that names the only version of a service
// by what others had saved is right about all of Memory. A version is saved before any daemon uses it.
func TestOnlyVersionIsNeverGuessedAfterALossOfAll(t *testing.T) {
	type note struct {
		since    time.Duration
		versions map[string][]canary.Version
	}
	rapid.Check(t, func(t *rapid.T) {
		const service, step, daemons = "app", 5 * time.Second, 3
		start := time.Duration(rapid.IntRange(0, 100).Draw(t, "start")) * time.Second
		histories := make([]*streamversion.History, daemons)
		for i := range histories {
			histories[i] = streamversion.NewHistory(start, true)
		}
		saved := note{since: start}
		// The saver has read what was saved; a daemon that starts reads it a step later.
		saver := 0
		used := map[canary.Version]time.Duration{}
		for now := start; now < start+4*streamversion.Memory; now += step {
			present := rapid.SampledFrom([][]canary.Version{{"v1"}, {"v1"}, {"v1"}, {"v2"}, {"v1", "v2"}}).Draw(t, "versions")
			load := func(h *streamversion.History) { h.Load(now, saved.since, saved.versions) }
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0: // all are lost
				for i := range histories {
					histories[i] = streamversion.NewHistory(now, false)
					load(histories[i])
				}
			case 1: // one starts, and knows what was saved only as the saver
				i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
				histories[i] = streamversion.NewHistory(now, false)
				if i == saver {
					saver = (i + 1) % daemons
				}
			case 2:
				saver = rapid.IntRange(0, daemons-1).Draw(t, "saver")
			}
			for _, h := range histories {
				for _, v := range present {
					h.Observe(now, service, v)
				}
			}
			for i, h := range histories {
				for j, other := range histories {
					if i != j && rapid.Bool().Draw(t, "hears") {
						h.Merge(now, other.Statement(now))
					}
				}
			}
			if rapid.Bool().Draw(t, "reads") {
				load(histories[saver])
			}
			h := histories[saver]
			saved = note{h.NamedSince(now), h.Versions(now)}
			for _, v := range present {
				used[v] = now
			}
			for _, h := range histories {
				v, known := h.Only(now, service)
				if !known {
					continue
				}
				for other, at := range used {
					if other != v && now-at < streamversion.Memory {
						t.Fatalf("%q counts as the only version %v after there was %q", v, now-at, other)
					}
				}
			}
		}
	})
}

// Guards against an error of the time of day, by which daemons tell since when they know all versions, that makes a version count
// as the only one while a stream of another one may still be taken up.
func TestOnlyVersionBearsErrorsOfTheTimeOfDay(t *testing.T) {
	const longestStream = 30 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		clockError := time.Duration(rapid.IntRange(-10_000, 10_000).Draw(t, "error in ms")) * time.Millisecond
		lastUse := time.Hour // of a version that nobody alive has seen
		h := streamversion.NewHistory(lastUse, false)
		h.Load(lastUse, lastUse+clockError, map[string][]canary.Version{"app": {"v1"}})
		for now := lastUse; now < lastUse+longestStream; now += time.Second {
			h.Observe(now, "app", "v1")
			if _, known := h.Only(now, "app"); known {
				t.Fatalf("one version counts as the only one %v after another was used", now-lastUse)
			}
		}
	})
}
