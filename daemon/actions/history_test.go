package actions_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstack.org/geraniumstack/internal/actionhistory"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/dispatch"
)

// For a longer run: go test ./daemon/actions -run TestHistories -histories=2000
var histories = flag.Int("histories", 40, "number of histories that TestHistories checks")

// workload generates calls and faults from one seed and applies them to real
// gateways. The Go scheduler determines the order in which goroutines run, so a
// seed reproduces the faults but not the exact history.
type workload struct {
	f       *fleet
	mu      sync.Mutex
	rng     *rand.Rand
	history actionhistory.History
	wg      sync.WaitGroup
}

func (w *workload) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

func (w *workload) sleep(upTo time.Duration) {
	time.Sleep(time.Duration(w.intN(int(upTo/time.Millisecond))) * time.Millisecond)
}

// runner returns a handler that executes actions and sometimes refuses, hangs or
// closes the connection without an answer.
func (w *workload) runner(string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		behavior := w.intN(20)
		if behavior == 0 {
			rw.Header().Set(dispatch.HeaderNotExecuted, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.sleep(100 * time.Millisecond)
		_, key, _ := strings.Cut(r.Header.Get(dispatch.HeaderAction), "/")
		answer := fmt.Sprintf("%s#%d", body, w.intN(1<<30))
		w.history.RecordRun(time.Now(), actionkey.ID{Workspace: "huaman", Key: key}, string(body), answer)
		switch behavior {
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			<-r.Context().Done()
		default:
			_, _ = io.WriteString(rw, answer)
		}
	})
}

// caller sends copies of one call through random gateways and queries its
// outcome.
func (w *workload) caller(callName string) {
	w.sleep(20 * time.Second)
	key := w.node().key(callName)
	for range 1 + w.intN(4) {
		w.wg.Go(func() {
			w.sleep(5 * time.Second)
			w.send(key, callName)
		})
	}
	w.wg.Go(func() {
		w.sleep(30 * time.Second)
		w.queryOutcome(key)
	})
}

func (n *node) key(suffix string) string {
	token, _ := n.Token()
	return token + suffix
}

func (w *workload) node() *node {
	index := w.intN(len(w.f.nodes))
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.f.nodes[index]
}

func (w *workload) send(key, body string) {
	from := time.Now()
	n := w.node()
	if n.ended.Load() {
		return
	}
	a, err := n.Execute(context.Background(), call.ServiceCall{
		Workspace: "huaman", Service: "casos", Key: key, Method: http.MethodPost, Path: "/pledges", Body: []byte(body),
	})
	w.recordAnswer(from, key, body, a, err)
}

func (w *workload) queryOutcome(key string) {
	from := time.Now()
	n := w.node()
	if n.ended.Load() {
		return
	}
	a, pending, err := n.Outcome(context.Background(), "huaman", key)
	if !pending {
		w.recordAnswer(from, key, "", a, err)
	}
}

func (w *workload) recordAnswer(from time.Time, key, body string, a call.Answer, err error) {
	r := action.Result{Answer: a}
	if err != nil {
		r.Refusal = refusal.From(err)
	}
	w.history.RecordResult(from, time.Now(), actionkey.ID{Workspace: "huaman", Key: key}, body, r)
}

// injectFault injects one random fault.
func (w *workload) injectFault(number int) {
	w.sleep(25 * time.Second)
	index := w.intN(len(w.f.nodes))
	switch w.intN(7) {
	case 0:
		w.replace(index, number, false)
	case 1:
		w.replace(index, number, true)
	case 2:
		w.f.store.SetFaults(kvserver.Faults{Outage: true})
		w.sleep(15 * time.Second)
		w.f.store.SetFaults(kvserver.Faults{})
	case 3:
		w.f.store.SetFaults(kvserver.Faults{LoseAnswers: w.intN(6), DelayMillis: int64(w.intN(1500)), LateEffects: true})
		w.sleep(10 * time.Second)
		w.f.store.SetFaults(kvserver.Faults{})
	case 4:
		w.f.network.Silence(fmt.Sprintf("entry-%d:90", index))
	case 5:
		w.f.network.Break(fmt.Sprintf("casos-%d:80", 1+w.intN(3)))
	case 6:
		w.hideFromDirectory(index)
	}
}

// replace ends an incarnation by a crash, optionally after a drain that may not
// complete, and starts another at its address. The old incarnation stays in the
// directory for a while.
func (w *workload) replace(index, number int, drain bool) {
	w.f.mu.Lock()
	n := w.f.nodes[index]
	w.f.mu.Unlock()
	if drain {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		for range 2 {
			w.wg.Go(func() { _ = n.Drain(ctx) })
		}
		w.sleep(4 * time.Second)
		defer cancel()
	}
	if !n.markEnded() {
		return // another fault has ended this incarnation
	}
	n.crash()
	w.sleep(3 * time.Second)
	next := w.f.start(index, 10+number)
	w.f.mu.Lock()
	w.f.nodes[index] = next
	w.f.mu.Unlock()
	w.sleep(3 * time.Second)
	w.f.removeFromDirectory(index)
}

// hideFromDirectory removes a live daemon from the directory for a while.
func (w *workload) hideFromDirectory(index int) {
	w.f.mu.Lock()
	var matches []int
	for i, d := range w.f.daemons {
		if d.ID == ident.DaemonID(fmt.Sprintf("entry-%d", index)) {
			matches = append(matches, i)
		}
	}
	if len(matches) != 1 {
		w.f.mu.Unlock()
		return
	}
	d := w.f.daemons[matches[0]]
	w.f.daemons = append(w.f.daemons[:matches[0]:matches[0]], w.f.daemons[matches[0]+1:]...)
	w.f.mu.Unlock()
	w.sleep(5 * time.Second)
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.f.daemons = append(w.f.daemons, d)
}

// TestHistories checks random histories of calls and faults against the
// guarantees given to callers: a call runs at most once, and answers about it
// don't contradict each other. The gateways run as in a daemon, with their
// goroutines, calls to each other and connections to runners.
func TestHistories(t *testing.T) {
	var yes, no, unknown, runs int
	for seed := range *histories {
		w := &workload{rng: rand.New(rand.NewPCG(uint64(seed), 3))}
		// In two of three histories some gateways hand out tokens of others.
		withFleet(t, smallFleetSize, 1+seed%smallFleetSize, w.runner, func(f *fleet) {
			w.f = f
			for i := range 2 + w.intN(4) {
				w.wg.Go(func() { w.injectFault(i) })
			}
			for i := range 12 {
				w.wg.Go(func() { w.caller(fmt.Sprintf("c%d", i)) })
			}
			w.wg.Wait()
			time.Sleep(time.Minute)
			synctest.Wait()
		})
		if !w.history.IsValid() {
			t.Errorf("seed %d: history violates the guarantees", seed)
		}
		yes, no, unknown, runs = yes+w.history.Yes, no+w.history.No, unknown+w.history.Unknown, runs+w.history.Runs
	}
	t.Logf("%d histories, %d executions; answers: executed %d, not executed %d, unknown %d", *histories, runs, yes, no, unknown)
	if yes == 0 || no == 0 || unknown == 0 {
		t.Error("the histories don't produce every kind of answer")
	}
}
