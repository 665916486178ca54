package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/edge"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	versionedEvents        = 10
	versionedEventInterval = 100 * time.Millisecond
	// maxMixedStreams is the number of streams that may hold events of two versions.
	maxMixedStreams = 2
	// neverLeave lets callers stay until their stream ends.
	neverLeave = versionedEvents + 1
	// callerStreams is the number of streams that a test's callers begin.
	callerStreams = 120
)

// versionedEventsBody is the body of a stream whose events name the version of their runner. It ends
// with a broken connection after the event breakAfter, unless that is zero.
type versionedEventsBody struct {
	ctx              context.Context
	version          canary.Version
	next, breakAfter int
}

func (b *versionedEventsBody) Read(p []byte) (int, error) {
	if b.next > versionedEvents {
		return 0, io.EOF
	}
	if b.breakAfter > 0 && b.next > b.breakAfter {
		return 0, io.ErrUnexpectedEOF
	}
	select {
	case <-time.After(versionedEventInterval):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n := copy(p, fmt.Sprintf("id: %d\ndata: %s\n\n", b.next, b.version))
	b.next++
	return n, nil
}

func (b *versionedEventsBody) Close() error { return nil }

// addVersionedRunner adds a runner of a software version that streams events which name it. It
// breaks each stream that breaks selects off after some events.
func (w *testFleet) addVersionedRunner(id string, version canary.Version, breaks func() bool) *runner {
	r := w.runners.add(id)
	r.setScript(versionedScript(version, breaks))
	w.registerVersion(id, version, view.Live)
	return r
}

// versionedScript answers with a stream of events that name a version. It breaks each stream that breaks selects off after
// some events.
func versionedScript(version canary.Version, breaks func() bool) func(context.Context, *edge.Attempt) (*edge.Answer, error) {
	return func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
		from := 0
		fmt.Sscanf(a.LastEventID, "%d", &from)
		body := &versionedEventsBody{ctx: ctx, version: version, next: from + 1}
		if a.LastEventID == "" && breaks != nil && breaks() {
			body.breakAfter = versionedEvents / 2
		}
		return &edge.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Events: true, Body: body}, nil
	}
}

// registerVersion writes the entry of a runner of a software version.
func (w *testFleet) registerVersion(id string, version canary.Version, state view.State) {
	w.put(runnerPrefix+id, edge.Runner{Runner: view.Runner{
		ID: ident.RunnerID(id), Address: id, Service: "app", FailureDomain: "north", State: state,
	}, Slots: 64, Version: version})
}

// addVersions adds the given number of runners of each version, numbered from zero.
func (w *testFleet) addVersions(each int, breaks func() bool, versions ...canary.Version) {
	for _, v := range versions {
		for i := range each {
			w.addVersionedRunner(fmt.Sprintf("%s-%d", v, i), v, breaks)
		}
	}
}

// everyThird selects every third call.
func everyThird() func() bool {
	var calls atomic.Int64
	return func() bool { return calls.Add(1)%3 == 0 }
}

// streamCaller reads one stream, over several requests if need be.
type streamCaller struct {
	// versions names the version of each event so far. firstRequest is the ID of the request that
	// brought the first one.
	versions     []canary.Version
	firstRequest string
	refusal      *refusal.Refusal
	finished     bool
}

// isMixed reports whether the stream holds events of two versions.
func (c *streamCaller) isMixed() bool {
	for _, v := range c.versions {
		if v != c.versions[0] {
			return true
		}
	}
	return false
}

func (c *streamCaller) isWhole() bool { return c.finished && len(c.versions) == versionedEvents }

// leavingReply is the reply to a caller that disconnects after some events.
type leavingReply struct {
	recordedReply
	events, leaveAfter int
	leave              context.CancelFunc
}

func (a *leavingReply) Write(p []byte) error {
	if a.events >= a.leaveAfter {
		return io.ErrClosedPipe
	}
	a.events += strings.Count(string(p), "\n\n")
	if a.events >= a.leaveAfter {
		defer a.leave()
	}
	return a.recordedReply.Write(p)
}

// readStream sends a request for the rest of the caller's stream, and leaves after some events of it.
func (w *testFleet) readStream(d *daemon, c *streamCaller, leaveAfter int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	id := fmt.Sprintf("stream-%d", lastRequestID.Add(1))
	a := &leavingReply{leaveAfter: leaveAfter, leave: cancel}
	req := &edge.Request{ID: id, Host: host, Path: "/draft/1", Method: http.MethodPost, Target: "/draft/1", Header: http.Header{}, Key: key, Received: time.Now()}
	if len(c.versions) > 0 {
		req.LastEventID, req.Resumes = fmt.Sprint(len(c.versions)), c.firstRequest
	}
	d.Serve(ctx, req, a)
	c.receive(id, &a.recordedReply)
}

// receive takes the reply to the request with the given ID.
func (c *streamCaller) receive(id string, a *recordedReply) {
	for line := range strings.Lines(a.body.String()) {
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			c.versions = append(c.versions, canary.Version(strings.TrimSpace(v)))
		}
	}
	if c.firstRequest == "" && len(c.versions) > 0 {
		c.firstRequest = id
	}
	c.refusal, c.finished = a.refusal, a.finished
}

// streamOutcome counts streams. Of those that were begun and taken up again, wentOn brought a further
// event; mixed hold events of two versions.
type streamOutcome struct{ begun, takenUp, wentOn, whole, mixed int }

// playStreams starts callers that begin a stream at one daemon, leave after leaveAfter events, and
// take it up again at another daemon until it is whole or refused.
func (w *testFleet) playStreams(n, leaveAfter int, daemons []*daemon) streamOutcome {
	var mu sync.Mutex
	var reading sync.WaitGroup
	var o streamOutcome
	for i := range n {
		reading.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			c := &streamCaller{}
			w.readStream(daemons[i%len(daemons)], c, leaveAfter)
			begun := len(c.versions)
			takenUp := begun > 0 && !c.finished
			for try := 1; try <= versionedEvents && !c.finished && c.refusal == nil; try++ {
				w.readStream(daemons[(i+try)%len(daemons)], c, leaveAfter)
			}
			mu.Lock()
			defer mu.Unlock()
			o.add(c, begun, takenUp)
		})
	}
	reading.Wait()
	return o
}

func (o *streamOutcome) add(c *streamCaller, begun int, takenUp bool) {
	if begun > 0 {
		o.begun++
	}
	if takenUp {
		o.takenUp++
	}
	if takenUp && len(c.versions) > begun {
		o.wentOn++
	}
	if c.isWhole() {
		o.whole++
	}
	if c.isMixed() {
		o.mixed++
	}
}

// checkTakenUp checks that streams stay at their version, and go on at least half as often as new ones
// begin.
func (w *testFleet) checkTakenUp(o streamOutcome, n int) {
	w.t.Helper()
	w.t.Logf("%+v", o)
	w.True(o.mixed <= maxMixedStreams)
	w.True(o.takenUp > 0)
	w.True(2*o.wentOn*n >= o.takenUp*o.begun)
}

// Guards against a stream that breaks off at its runner and goes on, within one answer, at a runner
// of another software version.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		w.addVersions(3, everyThird(), "v1", "v1.1")
		time.Sleep(500 * time.Millisecond)
		o := w.playStreams(callerStreams, neverLeave, w.daemons)
		t.Logf("%+v", o)
		w.True(o.mixed <= maxMixedStreams)
		w.Equal(o.begun, callerStreams)
		w.True(2*o.whole >= o.begun)
	})
}

// Guards against a caller that takes its stream up at another daemon and gets events of another
// software version.
func TestStreamTakenUpGoesOnAtItsVersion(t *testing.T) {
	for name, play := range map[string]func(t *testing.T, f func(w *testFleet)){
		"5_direct": func(t *testing.T, f func(w *testFleet)) { withFleet(t, 5, config(1), f) },
		"40_relay": func(t *testing.T, f func(w *testFleet)) { withRelayFleet(t, 40, config(1), f) },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *testFleet) {
				w.addVersions(3, nil, "v1", "v1.1")
				time.Sleep(2 * time.Second)
				w.checkTakenUp(w.playStreams(callerStreams, 3, w.daemons), callerStreams)
			})
		})
	}
}

// Guards against streams that nobody can continue at their version once the daemon that began them is
// gone without a word.
func TestStreamsOfAKilledDaemonGoOnAtTheirVersion(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		w.addVersions(3, nil, "v1", "v1.1")
		time.Sleep(500 * time.Millisecond)
		callers := w.beginStreams(callerStreams, w.daemons[0])
		w.daemons[0].kill()
		w.checkTakenUp(w.takeUp(callers, w.daemons[1:]), callerStreams)
	})
}

// beginStreams begins streams at a daemon whose callers have some events each.
func (w *testFleet) beginStreams(n int, d *daemon) []*streamCaller {
	callers := make([]*streamCaller, n)
	var reading sync.WaitGroup
	for i := range callers {
		callers[i] = &streamCaller{}
		reading.Go(func() { w.readStream(d, callers[i], 3) })
	}
	reading.Wait()
	return callers
}

// takeUp lets the callers take their streams up at the given daemons, one after the other.
func (w *testFleet) takeUp(callers []*streamCaller, daemons []*daemon) streamOutcome {
	var o streamOutcome
	for i, c := range callers {
		begun := len(c.versions)
		w.readStream(daemons[i%len(daemons)], c, neverLeave)
		o.add(c, begun, begun > 0)
	}
	return o
}

// takeUpAtOnce lets the callers take their streams up at the same time.
func (w *testFleet) takeUpAtOnce(callers []*streamCaller, daemons []*daemon) streamOutcome {
	var o streamOutcome
	var mu sync.Mutex
	var reading sync.WaitGroup
	for i, c := range callers {
		reading.Go(func() {
			begun := len(c.versions)
			w.readStream(daemons[i%len(daemons)], c, neverLeave)
			mu.Lock()
			defer mu.Unlock()
			o.add(c, begun, begun > 0)
		})
	}
	reading.Wait()
	return o
}

// Guards against a chain of tries that loses the version, because each names the request that brought
// the first event and the daemons that served the later ones are gone.
func TestStreamTakenUpAgainAndAgainStaysAtItsVersion(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		w.addVersions(3, nil, "v1", "v1.1")
		time.Sleep(500 * time.Millisecond)
		o := w.playStreams(callerStreams, 2, w.daemons)
		w.checkTakenUp(o, callerStreams)
		w.True(2*o.whole >= o.begun)
	})
}

// Guards against a daemon that is cut off from all others and guesses the version of a stream, and
// against holding the request that it must refuse.
func TestUnknownStreamIsRefusedAtOnce(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		w.addVersions(1, nil, "v1", "v1.1")
		time.Sleep(500 * time.Millisecond)
		callers := w.beginStreams(60, w.daemons[0]) // three of the four others keep each record
		w.network.isolate(w.daemons[4].address, true)
		w.daemons[4].store.setUnlisted(true) // it doesn't read the records that are saved
		refused := 0
		for _, c := range callers {
			start := time.Now()
			w.readStream(w.daemons[4], c, neverLeave)
			w.True(!c.isMixed())
			if c.refusal == nil {
				continue // This daemon keeps the stream's record.
			}
			refused++
			w.Equal(c.refusal.Reason, refusal.StreamUnknown)
			w.Equal(c.refusal.Executed, refusal.ExecutedNo)
			w.True(time.Since(start) < 500*time.Millisecond)
		}
		w.True(refused > 0)
	})
}

// Guards against refusing streams at a daemon that is cut off from all others, of which the key-value service has the
// records.
func TestDaemonThatIsCutOffReadsWhatIsSaved(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		w.addVersions(3, nil, "v1", "v1.1")
		time.Sleep(500 * time.Millisecond)
		callers := w.beginStreams(callerStreams, w.daemons[0])
		time.Sleep(time.Second)
		w.network.isolate(w.daemons[4].address, true)
		time.Sleep(3 * time.Second)
		o := w.takeUpAtOnce(callers, w.daemons[4:])
		w.checkTakenUp(o, callerStreams)
		w.Equal(o.wentOn, callerStreams)
	})
}

// Guards against refusing streams that nobody remembers although the service has had only one
// version, also at a daemon that has just started.
func TestUnknownStreamOfTheOnlyVersionGoesOn(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addVersions(3, nil, "v1")
		time.Sleep(500 * time.Millisecond)
		w.daemons[2].kill()
		d := w.restart(2)
		time.Sleep(2 * time.Second)
		c := &streamCaller{versions: []canary.Version{"v1"}, firstRequest: "forgotten"}
		w.readStream(d, c, neverLeave)
		w.True(c.isWhole())
	})
}

// Guards against a caller that doesn't name the request that began its stream and gets events of another version: what
// was found out for one such stream says nothing of another.
func TestUnnamedStreamsAreNotTakenForOne(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addVersions(2, nil, "v1")
		time.Sleep(500 * time.Millisecond)
		unnamed := func(d *daemon) *streamCaller {
			c := w.beginStreams(1, d)[0]
			c.firstRequest = ""
			return c
		}
		first := unnamed(w.daemons[0])
		w.readStream(w.daemons[1], first, neverLeave)
		w.True(first.isWhole()) // there has been one version only
		w.addVersions(2, nil, "v1.1")
		time.Sleep(3 * time.Second)
		for range 20 {
			for _, d := range w.daemons {
				c := unnamed(w.daemons[0])
				w.readStream(d, c, neverLeave)
				w.True(!c.isMixed())
			}
		}
	})
}

// Guards against a daemon that has just started and takes the only version that it sees for the one
// that began a stream.
func TestStartedDaemonDoesNotGuessAVersion(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addVersions(2, nil, "v1", "v1.1")
		time.Sleep(5 * time.Second)
		for i := range 2 {
			id := fmt.Sprintf("v1-%d", i)
			entry, err := w.store.Get(context.Background(), runnerPrefix+id)
			w.NoErr(err)
			w.NoErr(w.store.Delete(context.Background(), runnerPrefix+id, entry.Revision))
		}
		time.Sleep(5 * time.Second)
		w.daemons[2].kill()
		d := w.restart(2)
		time.Sleep(2 * time.Second)
		c := &streamCaller{versions: []canary.Version{"v1"}, firstRequest: "forgotten"}
		w.readStream(d, c, neverLeave)
		w.Equal(c.refusal.Reason, refusal.StreamUnknown)
	})
}

// Guards against a stream whose caller returns when no runner of its version is left.
func TestStreamWithoutItsVersionIsRefused(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addVersionedRunner("old", "v1", nil)
		time.Sleep(500 * time.Millisecond)
		callers := w.beginStreams(5, w.daemons[0])
		w.addVersionedRunner("new", "v1.1", nil)
		w.registerVersion("old", "v1", view.Leaving)
		time.Sleep(500 * time.Millisecond)
		for i, c := range callers {
			w.readStream(w.daemons[i%3], c, neverLeave)
			w.Equal(c.refusal.Reason, refusal.VersionUnavailable)
			w.Equal(c.refusal.Executed, refusal.ExecutedNo)
		}
	})
}

// Guards against a stream that changes its version on the way to or from a daemon that serves it for
// another one.
func TestDelegatedStreamStaysAtItsVersion(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		w.addVersions(3, nil, "v1", "v1.1")
		time.Sleep(500 * time.Millisecond)
		callers := w.beginStreams(40, w.daemons[1])
		w.cutOff(w.daemons[0])
		w.checkTakenUp(w.takeUp(callers, w.daemons[:1]), len(callers))
		callers = w.beginStreams(40, w.daemons[0])
		w.checkTakenUp(w.takeUp(callers, w.daemons[1:]), len(callers))
	})
}

// Guards against a stream that its helper began and that the delegating daemon continues at another
// version once the helper is gone.
func TestStreamOfALostHelperStaysAtItsVersion(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addVersions(3, nil, "v1", "v1.1")
		time.Sleep(500 * time.Millisecond)
		w.cutOff(w.daemons[0])
		callers := make([]*streamCaller, 12)
		var reading sync.WaitGroup
		for i := range callers {
			callers[i] = &streamCaller{}
			reading.Go(func() { w.readStream(w.daemons[0], callers[i], neverLeave) })
		}
		time.Sleep(4 * versionedEventInterval)
		w.daemons[1].kill()
		reading.Wait()
		var o streamOutcome
		for _, c := range callers {
			o.add(c, len(c.versions), false)
		}
		t.Logf("%+v", o)
		w.Equal(o.mixed, 0)
		w.Equal(o.begun, len(callers))
		w.True(2*o.whole >= o.begun)
	})
}

// Guards against a stream that goes on at a runner that has started again with another version while
// this daemon's entry of it is old.
func TestStreamDoesNotGoOnAtARestartedRunner(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addVersionedRunner("r1", "v1", nil)
		time.Sleep(500 * time.Millisecond)
		callers := w.beginStreams(10, w.daemons[0])
		w.addVersionedRunner("r1", "v1.1", nil)
		for _, c := range callers {
			w.readStream(w.daemons[1], c, neverLeave)
			w.True(!c.isMixed())
		}
	})
}

// Guards against a version with few of very many runners, of which most daemons would use none, so that
// its streams could go on almost nowhere.
func TestStreamOfARareVersionGoesOn(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		for i := range 2000 {
			w.addVersionedRunner(fmt.Sprintf("v1-%d", i), "v1", nil)
		}
		for i := range 3 {
			w.addVersionedRunner(fmt.Sprintf("v1.1-%d", i), "v1.1", nil)
		}
		time.Sleep(3 * time.Second)
		var rare []*streamCaller
		for range 20 {
			for _, c := range w.beginStreams(100, w.daemons[2]) {
				if c.versions[0] == "v1.1" {
					rare = append(rare, c)
				}
			}
		}
		w.checkTakenUp(w.takeUp(rare, w.daemons[:2]), len(rare))
	})
}

// streamMessages counts the messages about streams' versions and their bytes.
type streamMessages struct{ records, acks, asks, answers, bytes int }

func (m *streamMessages) count(message []byte) {
	var d peersv1.Datagram
	if proto.Unmarshal(message, &d) != nil {
		return
	}
	switch {
	case d.StreamRecord != nil:
		m.records++
	case d.StreamRecordAck != nil:
		m.acks++
	case d.StreamAsk != nil:
		m.asks++
	case d.StreamAnswer != nil:
		m.answers++
	default:
		return
	}
	m.bytes += len(message)
}

// Guards against streams that nobody knows any more once a third of the daemons, the ones that began
// them among these, are gone at once.
func TestStreamsOutliveAThirdOfTheDaemons(t *testing.T) {
	for _, n := range []int{5, 33, 119} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			withDirectFleet(t, n, config(1), func(w *testFleet) {
				w.addVersions(3, nil, "v1", "v1.1")
				time.Sleep(3 * time.Second)
				var messages streamMessages
				w.network.observe(messages.count)
				killed := w.daemons[:max(1, n/3)]
				var callers []*streamCaller
				for _, d := range killed {
					callers = append(callers, w.beginStreams(callerStreams/len(killed), d)...)
				}
				begun := messages
				for _, d := range killed {
					d.kill()
				}
				o := w.takeUpAtOnce(callers, w.daemons[len(killed):])
				w.network.observe(nil)
				t.Logf("%d daemons, %d streams: %d records and %d acks of %d bytes together; then %d asks, %d answers, %d bytes", n, len(callers),
					begun.records, begun.acks, begun.bytes, messages.asks, messages.answers, messages.bytes-begun.bytes)
				w.checkTakenUp(o, len(callers))
			})
		})
	}
}
