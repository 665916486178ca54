package control_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/daemon/control"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/state/ident"
)

// trials is the number of seeds; higher values make a longer run.
var trials = flag.Uint64("trials", 3, "seeds of TestHistoriesOfTheRegister")

// submitCall is the input of one operator's submission, and submitResult its
// output.
type submitCall struct{ expected int64 }

type submitResult struct {
	outcome    string
	generation int64
}

const (
	accepted    = "accepted"
	conflict    = "conflict"
	notAccepted = "not accepted"
	unknown     = "unknown"
)

// registerModel models the configuration register as operators see it: a
// generation number that each accepted submission increments.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{int64(0)} },
		Step: func(state, input, output any) []any {
			generation, call, answer := state.(int64), input.(submitCall), output.(submitResult)
			matches := call.expected == config.AnyGeneration || call.expected == generation
			switch {
			case answer.outcome == accepted && matches && answer.generation == generation+1:
				return []any{generation + 1}
			case answer.outcome == conflict && !matches && answer.generation == generation:
				return []any{generation}
			case answer.outcome == notAccepted:
				return []any{generation}
			case answer.outcome == unknown && matches:
				return []any{generation, generation + 1}
			case answer.outcome == unknown:
				return []any{generation}
			}
			return nil
		},
	}
	return model.ToModel()
}

// observation is the input of an operation in inForceModel: either a read of
// the generation in force at one incarnation, or a report by Apply that a
// generation is in force in every failure domain.
type observation struct {
	incarnation ident.Incarnation
	report      bool
}

// inForceModel models the highest generation observed so far, which later
// observations must not fall below. It is checked for each incarnation by
// itself. It is also checked for reports together with each incarnation's first
// read, which counts as lasting from the incarnation's start: a report
// constrains all incarnations that start after it.
func inForceModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return int64(0) },
		Step: func(state, input, output any) (bool, any) {
			highest, generation := state.(int64), output.(int64)
			return input.(observation).report || generation >= highest, max(highest, generation)
		},
	}
}

// history records the operations of concurrent clients in virtual time.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *history) add(client int, call time.Time, input, output any, outcomeOpen bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	op := porcupine.Operation{
		ClientId: client, Input: input, Call: call.UnixNano(), Output: output, Return: time.Now().UnixNano(),
	}
	if outcomeOpen {
		op.Return = math.MaxInt64
	}
	h.operations = append(h.operations, op)
}

// historyRun is a fleet under random faults, with concurrent operators and a
// reader.
type historyRun struct {
	*fleet
	random       *rand.Rand
	register     history
	reads        map[ident.Incarnation]*history
	startHistory history
	done         chan struct{}
	// operators and reader track the goroutines of the run's clients.
	operators sync.WaitGroup
	reader    sync.WaitGroup
	// newIDOnRetry makes operators repeat every submission under a new ID,
	// which defeats the detection of repeated submissions.
	newIDOnRetry bool
}

func (r *historyRun) runOperator(client, calls int, random *rand.Rand) {
	defer r.operators.Done()
	for n := range calls {
		time.Sleep(randomDuration(random, 3*time.Second))
		d := r.daemonAt(random.IntN(5))
		expected := config.AnyGeneration
		if random.IntN(2) == 0 {
			_, g := d.Current()
			expected = int64(g)
		}
		call := time.Now()
		answer := r.submit(d, fmt.Sprintf("%d-%d", client, n), expected)
		r.register.add(client, call, submitCall{expected}, answer, answer.outcome == unknown)
	}
}

func randomDuration(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d)))
}

func (r *historyRun) daemonAt(i int) *daemon {
	r.mu().Lock()
	defer r.mu().Unlock()
	return r.daemons[i]
}

func (r *historyRun) mu() *sync.Mutex { return &r.network.mu }

func (r *historyRun) submit(d *daemon, id string, expected int64) submitResult {
	s := control.Submission{Manifest: testManifest(3), Author: "pipeline", ID: id, Expected: expected, Wait: time.Second}
	outcome, err := d.Apply(r.t.Context(), s)
	if r.newIDOnRetry {
		s.ID += "-again"
		outcome, err = d.Apply(r.t.Context(), s)
	}
	if err == nil && outcome.InForceEverywhere {
		now := time.Now()
		r.startHistory.add(0, now, observation{report: true}, int64(outcome.Accepted.Generation), false)
	}
	return submitResultOf(outcome, err)
}

func submitResultOf(outcome control.Outcome, err error) submitResult {
	var c *config.ConflictError
	var n *config.NotAcceptedError
	switch {
	case err == nil:
		return submitResult{accepted, int64(outcome.Accepted.Generation)}
	case errors.As(err, &c):
		return submitResult{conflict, int64(c.Current.Generation)}
	case errors.As(err, &n):
		return submitResult{outcome: notAccepted}
	}
	return submitResult{outcome: unknown}
}

// readLoop records the generation in force at every daemon, and the first one
// that each new incarnation shows.
func (r *historyRun) readLoop() {
	defer r.reader.Done()
	for {
		select {
		case <-r.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for i := range 5 {
			r.recordRead(r.daemonAt(i))
		}
	}
}

func (r *historyRun) recordRead(d *daemon) {
	call := time.Now()
	m, generation := d.Current()
	if m == nil {
		return
	}
	incarnation := d.Self().Incarnation
	if r.reads[incarnation] == nil {
		r.reads[incarnation] = &history{}
		r.startHistory.add(1, d.started, observation{incarnation: incarnation}, int64(generation), false)
	}
	r.reads[incarnation].add(0, call, observation{incarnation: incarnation}, int64(generation), false)
}

// injectFaults switches between faults of the key-value service and replaces
// daemons, one at a time.
func (r *historyRun) injectFaults(rounds int) {
	faults := []kvserver.Faults{
		{}, {}, {Outage: true}, {DelayMillis: 700}, {SilentWatches: true},
		{LoseAnswers: 2, LosePrefix: "config/head"}, {LoseAnswers: 1, LoseSilently: true, LosePrefix: "config/"},
		{SilentWatches: true, LoseAnswers: 3}, {DelayMillis: 2500},
	}
	for range rounds {
		r.store.SetFaults(faults[r.random.IntN(len(faults))])
		time.Sleep(randomDuration(r.random, 6*time.Second))
		if r.random.IntN(4) == 0 {
			time.Sleep(20 * time.Second)
		}
		if r.random.IntN(3) == 0 {
			r.replace(r.random.IntN(5))
		}
	}
	r.store.SetFaults(kvserver.Faults{})
}

// replace crashes a daemon, starts a new incarnation of it, and gives that one
// time to catch up with its peers.
func (r *historyRun) replace(i int) {
	r.crash(i)
	time.Sleep(randomDuration(r.random, 3*time.Second))
	r.reconnect(i)
	d := r.start(i)
	r.mu().Lock()
	r.daemons[i] = d
	r.mu().Unlock()
	time.Sleep(3 * time.Second)
}

func runHistory(t *testing.T, seed uint64, newIDOnRetry bool) (r *historyRun) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		r = &historyRun{
			fleet: f, random: rand.New(rand.NewPCG(seed, 1)), newIDOnRetry: newIDOnRetry,
			reads: map[ident.Incarnation]*history{}, done: make(chan struct{}),
		}
		f.waitUntil(5*time.Second, "all daemons see each other as live", f.allLive)
		r.operators.Add(3)
		r.reader.Add(1)
		go r.readLoop()
		for client := range 3 {
			go r.runOperator(client, 6, rand.New(rand.NewPCG(seed, uint64(client)+2)))
		}
		r.injectFaults(8)
		r.operators.Wait()
		close(r.done)
		r.reader.Wait()
		r.waitForConvergence()
	})
	return r
}

// waitForConvergence waits until every daemon has the register's head in force.
func (r *historyRun) waitForConvergence() {
	entry, err := r.store.Get(context.Background(), "config/head")
	if err != nil || entry.Revision == 0 {
		return
	}
	head, err := config.DecodeHead(entry.Value)
	if err != nil {
		r.t.Fatal(err)
	}
	r.waitUntil(30*time.Second, "every daemon has the register's head", r.inForce(head.Generation))
}

// Operators submit concurrently to five daemons while the key-value service is
// down, slow, stalled or loses responses, and while daemons are replaced. The
// history must be linearizable: no accepted change may be overwritten unseen,
// and no daemon may show an older generation after a newer one.
func TestHistoriesOfTheRegister(t *testing.T) {
	t.Parallel()
	acceptedCount, unknownCount := 0, 0
	for seed := uint64(1); seed <= *trials; seed++ {
		is := is.New(t)
		r := runHistory(t, seed, false)
		is.True(porcupine.CheckOperations(registerModel(), r.register.operations))
		is.True(porcupine.CheckOperations(inForceModel(), r.startHistory.operations))
		for _, h := range r.reads {
			is.True(porcupine.CheckOperations(inForceModel(), h.operations))
		}
		for _, op := range r.register.operations {
			switch op.Output.(submitResult).outcome {
			case accepted:
				acceptedCount++
			case unknown:
				unknownCount++
			}
		}
	}
	t.Logf("%d accepted, %d unknown", acceptedCount, unknownCount)
	if acceptedCount < int(*trials)*8 {
		t.Errorf("only %d submissions were accepted, too few for a meaningful check", acceptedCount)
	}
}

// A client that repeats a submission under a new ID changes the register twice
// for one response. The checker must detect this in the history.
func TestCheckerDetectsResubmissionUnderNewID(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := runHistory(t, 1, true)
	is.True(!porcupine.CheckOperations(registerModel(), r.register.operations))
}
