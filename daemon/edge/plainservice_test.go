package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	plainSlots       = 6
	plainQueue       = 24
	plainServiceTime = 60 * time.Millisecond
)

// addPlainRunner adds a runner that works on a few requests at a time, queues some more and
// rejects all others.
func (w *testFleet) addPlainRunner(id string) {
	slots, queue := make(chan struct{}, plainSlots), make(chan struct{}, plainSlots+plainQueue)
	w.runners.add(id).setScript(func(_ context.Context, _ *edge.Attempt) (*edge.Answer, error) {
		select {
		case queue <- struct{}{}:
		default:
			a := plainAnswer(http.StatusServiceUnavailable, "")
			a.NotRun = true
			return a, nil
		}
		slots <- struct{}{}
		time.Sleep(plainServiceTime)
		<-slots
		<-queue
		return plainAnswer(http.StatusOK, "from "+id), nil
	})
	w.put(runnerPrefix+id, edge.Runner{Runner: view.Runner{
		ID: ident.RunnerID(id), Address: id, Service: "app", FailureDomain: "north", State: view.Live,
	}, Slots: plainSlots})
}

// Guards against refusing requests of a plain service as too late, although the runners would
// finish their queue in a fraction of the time left.
func TestBurstIsQueuedAtPlainRunners(t *testing.T) {
	const (
		daemons, runners = 5, 4
		calm, burst      = 160, 480
	)
	withFleet(t, daemons, config(1), func(w *testFleet) {
		for i := range runners {
			w.addPlainRunner(fmt.Sprintf("r%d", i))
		}
		time.Sleep(time.Second)
		random := rand.New(rand.NewPCG(1, 0))
		var asking sync.WaitGroup
		var mu sync.Mutex
		asked, refused, reasons := 0, 0, map[refusal.Reason]int{}
		ask := func(d *daemon) {
			defer asking.Done()
			a := w.ask(d, "/pledge/1", key)
			mu.Lock()
			defer mu.Unlock()
			if a.refusal != nil {
				refused++
				reasons[a.refusal.Reason]++
			}
		}
		play := func(perSecond int, span time.Duration) {
			for range int(span.Seconds() * float64(perSecond)) {
				time.Sleep(time.Second / time.Duration(perSecond))
				asking.Add(1)
				asked++
				go ask(w.daemons[random.IntN(daemons)])
			}
		}
		play(calm, 3*time.Second)
		// A short overload of the runners: at its end, about forty requests more than there are
		// slots are waiting.
		play(burst, 400*time.Millisecond)
		play(calm, 2*time.Second)
		asking.Wait()
		t.Logf("%d of %d refused: %v", refused, asked, reasons)
		w.True(refused*100 <= asked)
	})
}
