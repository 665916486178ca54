package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/state/ident"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTracker(n int) (*Tracker, []ident.RunnerID) {
	ids := make([]ident.RunnerID, n)
	for i := range ids {
		ids[i] = ident.RunnerID(fmt.Sprintf("r%02d", i))
	}
	t := New(Default())
	t.SetRunners(ids)
	return t, ids
}

func TestEjectProbeReadmit(t *testing.T) {
	is := is.New(t)
	tr, ids := newTracker(4)
	is.Equal(len(tr.HandleOutcome(start, ids[0], Failure, nil)), 0)
	is.Equal(len(tr.HandleOutcome(start, ids[0], Failure, nil)), 0)
	is.Equal(tr.HandleOutcome(start, ids[0], Failure, nil), []Effect{{Eject, ids[0]}})
	is.Equal(len(tr.Tick(start.Add(time.Second), nil)), 0)
	is.Equal(tr.Tick(start.Add(2*time.Second), nil), []Effect{{Probe, ids[0]}})
	is.Equal(len(tr.HandleProbe(start.Add(2*time.Second), ids[0], false, nil)), 0)
	is.Equal(len(tr.Tick(start.Add(5*time.Second), nil)), 0) // the second ejection lasts twice as long
	is.Equal(tr.Tick(start.Add(6*time.Second), nil), []Effect{{Probe, ids[0]}})
	is.Equal(tr.HandleProbe(start.Add(6*time.Second), ids[0], true, nil), []Effect{{Readmit, ids[0]}})
	is.Equal(tr.HandleOutcome(start.Add(7*time.Second), ids[0], Failure, nil), []Effect{{Eject, ids[0]}})
}

// Guards against an ejection that costs capacity without need: streams to a runner hang because
// a middlebox dropped the state of their connections, but the runner is healthy.
func TestSilentConnectionAloneDoesNotEject(t *testing.T) {
	is := is.New(t)
	tr, ids := newTracker(4)
	is.Equal(tr.HandleOutcome(start, ids[1], SilentConnection, nil), []Effect{{Probe, ids[1]}})
	for range 20 {
		is.Equal(len(tr.HandleOutcome(start, ids[1], SilentConnection, nil)), 0)
	}
	is.Equal(len(tr.HandleProbe(start, ids[1], true, nil)), 0)
	is.Equal(tr.Ejected(), 0)
	is.Equal(tr.HandleOutcome(start, ids[1], SilentConnection, nil), []Effect{{Probe, ids[1]}})
	is.Equal(tr.Tick(start.Add(time.Second), nil), []Effect{{Eject, ids[1]}}) // the probe on the new connection got no answer either
}

// Guards against a gateway that ejects every runner because its own network link failed for a
// moment, and then refuses all requests although the runners work.
func TestEjectionsStayBelowMaxShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "runners")
		tr, ids := newTracker(n)
		ejected := map[ident.RunnerID]bool{}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "id")
			var effects []Effect
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0, 1:
				effects = tr.HandleOutcome(now, id, Failure, nil)
			case 2:
				effects = tr.HandleOutcome(now, id, SilentConnection, nil)
			case 3:
				effects = tr.HandleProbe(now, id, rapid.Bool().Draw(t, "ok"), nil)
			case 4:
				effects = tr.Tick(now, nil)
			}
			for _, e := range effects {
				switch e.Kind {
				case Eject:
					ejected[e.Runner] = true
				case Readmit:
					delete(ejected, e.Runner)
				}
			}
			if len(ejected) != tr.Ejected() || len(ejected) >= n || len(ejected) > max(1, n*34/100) {
				t.Fatalf("%d of %d runners ejected, tracker counts %d", len(ejected), n, tr.Ejected())
			}
		}
	})
}
