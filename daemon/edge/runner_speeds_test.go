package edge_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/coordination/runnerspeed"
	"geraniumstack.org/geraniumstack/daemon/edge"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
)

// stepBody is a stream of events that take a time each, the last one eleven times as long.
type stepBody struct {
	step time.Duration
	left int
}

func (b *stepBody) Read(p []byte) (int, error) {
	if b.left--; b.left < 0 {
		return 0, io.EOF
	}
	time.Sleep(b.step)
	if b.left == 0 {
		time.Sleep(10 * b.step)
	}
	return copy(p, "data: x\n\n"), nil
}

func (b *stepBody) Close() error { return nil }

// speedFleet is a fleet with eight engines, r0 and r4 of which may be faster than the others. It counts the
// observations and estimates in messages. asked are the daemons that get requests.
type speedFleet struct {
	*testFleet
	paces, speeds atomic.Int64
	asked         []*daemon
	wg            sync.WaitGroup
}

func withSpeedFleet(t *testing.T, daemons, maxDirect int, without string, fast, slow time.Duration, f func(w *speedFleet)) {
	c := config(1)
	c.Services = []route.Service{{Name: "app", Engine: &route.Engine{Slots: 32, KVTokens: 500_000}}}
	c.Routes[3].TargetLatency, c.Routes[3].MaxPause = time.Second, 200*time.Millisecond
	withFleet(t, 0, c, func(tw *testFleet) {
		w := &speedFleet{testFleet: tw}
		w.directFleet, w.without = maxDirect, without
		w.spreadOverDomains()
		for i := range 8 {
			step := []time.Duration{fast, slow, slow, slow}[i%4]
			w.addRunner(fmt.Sprintf("r%d", i), "app").setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) {
				return &edge.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Events: true, Body: &stepBody{step, 30}}, nil
			})
		}
		for range daemons {
			w.addDaemon()
		}
		w.network.observe(func(message []byte) {
			var d peersv1.Datagram
			w.NoErr(proto.Unmarshal(message, &d))
			w.paces.Add(int64(len(d.GetHello().GetPaces())))
			w.speeds.Add(int64(len(d.GetHello().GetSpeeds())))
		})
		w.asked = w.daemons[:daemons-2]
		time.Sleep(4 * time.Second)
		f(w)
		w.wg.Wait()
	})
}

// load sends streams to random ones of the asked daemons.
func (w *speedFleet) load(span time.Duration) {
	const spacing = 20 * time.Millisecond
	random := rand.New(rand.NewPCG(1, uint64(span)))
	for range int(span / spacing) {
		d := w.asked[random.IntN(len(w.asked))]
		w.wg.Go(func() { w.ask(d, "/match/", key) })
		time.Sleep(spacing)
	}
}

// informed counts the daemons that know that r0 is faster than r1.
func (w *speedFleet) informed(daemons []*daemon) int {
	return len(slices.DeleteFunc(slices.Clone(daemons), func(d *daemon) bool {
		return d.SpeedFactor("app", "r0") <= 1.3*d.SpeedFactor("app", "r1")
	}))
}

const fastStep, slowStep = 15 * time.Millisecond, 32 * time.Millisecond

// Guards against daemons that don't know the runners' speeds although others have observed them, against
// observations that circulate, and against estimates that outlive their observations or don't outlive a relay.
func TestAllDaemonsLearnTheRunnersSpeeds(t *testing.T) {
	withSpeedFleet(t, 12, relays.DirectFleet, "", fastStep, slowStep, func(w *speedFleet) { w.checkSpeeds(false) })
	withSpeedFleet(t, 24, relays.AllWatchFleet, "", fastStep, slowStep, func(w *speedFleet) { w.checkSpeeds(true) })
}

func (w *speedFleet) checkSpeeds(withRelays bool) {
	n := len(w.daemons)
	w.load(12 * time.Second)
	w.Equal(w.informed(w.daemons), n)
	w.Equal(w.speeds.Load() > 0, withRelays)
	// The slow runners' streams pause for too long, the fast ones' don't.
	w.load(8 * time.Second)
	w.True(w.asked[0].PauseRisk("app", "r1") > 0)
	w.Equal(w.asked[0].PauseRisk("app", "r0"), 0.0)
	// A relay ends, and the last daemon, which serves nobody, is out of touch.
	ended := slices.IndexFunc(w.daemons, func(d *daemon) bool { return d.IsRelay() })
	w.asked = slices.Delete(slices.Clone(w.daemons[:n-1]), ended, ended+1)
	w.daemons[ended].kill()
	w.network.isolate(w.daemons[n-1].address, true)
	for _, span := range []time.Duration{2 * time.Second, 14 * time.Second} {
		w.load(span)
		w.Equal(w.informed(w.asked), len(w.asked))
	}
	w.Equal(w.informed(w.daemons[n-1:]), 0)
	w.wg.Wait()
	time.Sleep(2 * time.Second)
	w.paces.Store(0)
	time.Sleep(2 * time.Second)
	w.Equal(w.paces.Load(), int64(0))
	time.Sleep(runnerspeed.MaxAge + 12*time.Second)
	w.Equal(w.informed(w.asked), 0)
	w.Equal(w.asked[0].SpeedFactor("app", "r0"), 1.0)
}

// Guards against any effect on a service whose runners differ no more than their batches make them, and
// against any of the part where it is switched off.
func TestSpeedsHaveNoEffectOnEqualRunners(t *testing.T) {
	withSpeedFleet(t, 24, relays.AllWatchFleet, "", 20*time.Millisecond, 32*time.Millisecond, func(w *speedFleet) {
		w.load(12 * time.Second)
		w.Equal(w.informed(w.daemons), 0)
		w.True(w.paces.Load() > 0)
		w.Equal(w.speeds.Load(), int64(0))
	})
	withSpeedFleet(t, 12, 36, string(edge.RunnerSpeeds), fastStep, slowStep, func(w *speedFleet) {
		w.load(8 * time.Second)
		w.Equal(w.informed(w.daemons), 0)
		w.Equal(w.paces.Load()+w.speeds.Load(), int64(0))
	})
}

// Guards against received fields of any content that make a daemon panic, keep an unbounded list, or take
// a runner to be faster or slower than the bounds.
func TestReceivedSpeedsAreChecked(t *testing.T) {
	withSpeedFleet(t, 3, relays.DirectFleet, "", slowStep, slowStep, func(w *speedFleet) {
		d, differ := w.daemons[0], false
		interval := rapid.OneOf(rapid.Uint32(), rapid.Uint32Range(500, 100_000))
		observations := rapid.OneOf(rapid.Uint32(), rapid.Uint32Range(0, 17))
		runner := rapid.Custom(func(t *rapid.T) uint64 {
			return edge.RunnerHash(ident.RunnerID(fmt.Sprintf("r%d", rapid.IntRange(0, 9).Draw(t, "runner"))))
		})
		rapid.Check(t, func(t *rapid.T) {
			h := &peersv1.Hello{Incarnation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "from")}
			for range rapid.IntRange(0, 100).Draw(t, "paces") {
				h.Paces = append(h.Paces, &peersv1.RunnerPace{Runner: runner.Draw(t, "r"), IntervalUs: interval.Draw(t, "us")})
			}
			for range rapid.IntRange(0, 50).Draw(t, "speeds") {
				h.Speeds = append(h.Speeds, &peersv1.RunnerSpeed{Runner: runner.Draw(t, "r"), IntervalUs: interval.Draw(t, "us"), Observations: observations.Draw(t, "n")})
			}
			fresh := d.ReceiveSpeeds(h)
			time.Sleep(500 * time.Millisecond)
			factor := d.SpeedFactor("app", "r0")
			is.New(t).True(fresh <= 64 && factor >= 0.25 && factor <= 4)
			differ = differ || factor != 1
		})
		w.True(differ)
	})
}

// Guards against a demand that counts on the fast runners' speed, for which too few runners are ordered.
func TestDemandCountsTypicalRunners(t *testing.T) {
	is := is.New(t)
	is.Equal(edge.TypicalFactor([]float64{1.8, 0.8, 0.85, 0.8}), 0.85)
	is.Equal(edge.TypicalFactor([]float64{1.8, 0.8, 0.8, 0.8, 1.8, 0.8, 0.8, 0.8}), 0.8)
	is.Equal(edge.TypicalFactor([]float64{1}), 1.0)
}
