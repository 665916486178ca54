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

// trials is the number of seeds; more of them are a longer run.
var trials = flag.Uint64("trials", 3, "seeds of TestHistoriesOfTheRegister")

// submitted is one operator's call and what it was told.
type submitted struct{ expected int64 }

type told struct {
	outcome    string
	generation int64
}

const (
	accepted    = "accepted"
	conflict    = "conflict"
	notAccepted = "not accepted"
	unknown     = "unknown"
)

// registerModel is the configuration register as operators see it: a number
// that each accepted call raises by one.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{int64(0)} },
		Step: func(state, input, output any) []any {
			generation, call, answer := state.(int64), input.(submitted), output.(told)
			fits := call.expected == config.AnyGeneration || call.expected == generation
			switch {
			case answer.outcome == accepted && fits && answer.generation == generation+1:
				return []any{generation + 1}
			case answer.outcome == conflict && !fits && answer.generation == generation:
				return []any{generation}
			case answer.outcome == notAccepted:
				return []any{generation}
			case answer.outcome == unknown && fits:
				return []any{generation, generation + 1}
			case answer.outcome == unknown:
				return []any{generation}
			}
			return nil
		},
	}
	return model.ToModel()
}

// seen is a read of the generation in force at one incarnation, or the report
// that one is in force in every failure domain.
type seen struct {
	incarnation ident.Incarnation
	report      bool
}

// inForceModel is the highest generation that an incarnation has shown; reports
// hold for all incarnations that start later (a first read lasts from the start).
func inForceModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return int64(0) },
		Step: func(state, input, output any) (bool, any) {
			highest, generation := state.(int64), output.(int64)
			return input.(seen).report || generation >= highest, max(highest, generation)
		},
	}
}

// history collects operations of concurrent clients in virtual time.
type history struct {
	mu  sync.Mutex
	all []porcupine.Operation
}

func (h *history) add(client int, call time.Time, input, output any, open bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	op := porcupine.Operation{
		ClientId: client, Input: input, Call: call.UnixNano(), Output: output, Return: time.Now().UnixNano(),
	}
	if open {
		op.Return = math.MaxInt64
	}
	h.all = append(h.all, op)
}

// trial is a fleet under random faults with operators and readers.
type trial struct {
	*fleet
	random   *rand.Rand
	register history
	reads    map[ident.Incarnation]*history
	starts   history
	over     chan struct{}
	// operators and reader are the trial's clients.
	operators sync.WaitGroup
	reader    sync.WaitGroup
	// careless breaks the guard that tells a lost answer from a lost call.
	careless bool
}

func (r *trial) operate(client, calls int, random *rand.Rand) {
	defer r.operators.Done()
	for n := range calls {
		time.Sleep(rand1(random, 3*time.Second))
		d := r.daemonAt(random.IntN(5))
		expected := config.AnyGeneration
		if random.IntN(2) == 0 {
			_, g := d.Current()
			expected = int64(g)
		}
		call := time.Now()
		answer := r.submitOnce(d, fmt.Sprintf("%d-%d", client, n), expected)
		r.register.add(client, call, submitted{expected}, answer, answer.outcome == unknown)
	}
}

func rand1(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d)))
}

func (r *trial) daemonAt(i int) *daemon {
	r.mu().Lock()
	defer r.mu().Unlock()
	return r.daemons[i]
}

func (r *trial) mu() *sync.Mutex { return &r.network.mu }

func (r *trial) submitOnce(d *daemon, id string, expected int64) told {
	s := control.Submission{Manifest: sample(3), Author: "pipeline", ID: id, Expected: expected, Wait: time.Second}
	outcome, err := d.Apply(r.t.Context(), s)
	if r.careless {
		s.ID += "-again"
		outcome, err = d.Apply(r.t.Context(), s)
	}
	if err == nil && outcome.InForceEverywhere {
		now := time.Now()
		r.starts.add(0, now, seen{report: true}, int64(outcome.Accepted.Generation), false)
	}
	return tellOf(outcome, err)
}

func tellOf(outcome control.Outcome, err error) told {
	var c *config.ConflictError
	var n *config.NotAcceptedError
	switch {
	case err == nil:
		return told{accepted, int64(outcome.Accepted.Generation)}
	case errors.As(err, &c):
		return told{conflict, int64(c.Current.Generation)}
	case errors.As(err, &n):
		return told{outcome: notAccepted}
	}
	return told{outcome: unknown}
}

// read records what every daemon shows, and what a new incarnation shows first.
func (r *trial) read() {
	defer r.reader.Done()
	for {
		select {
		case <-r.over:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for i := range 5 {
			r.readAt(r.daemonAt(i))
		}
	}
}

func (r *trial) readAt(d *daemon) {
	call := time.Now()
	m, generation := d.Current()
	if m == nil {
		return
	}
	incarnation := d.Self().Incarnation
	if r.reads[incarnation] == nil {
		r.reads[incarnation] = &history{}
		r.starts.add(1, d.started, seen{incarnation: incarnation}, int64(generation), false)
	}
	r.reads[incarnation].add(0, call, seen{incarnation: incarnation}, int64(generation), false)
}

// harm switches faults and restarts one daemon at a time.
func (r *trial) harm(rounds int) {
	faults := []kvserver.Faults{
		{}, {}, {Outage: true}, {DelayMillis: 700}, {SilentWatches: true},
		{LoseAnswers: 2, LosePrefix: "config/head"}, {LoseAnswers: 1, LoseSilently: true, LosePrefix: "config/"},
		{SilentWatches: true, LoseAnswers: 3}, {DelayMillis: 2500},
	}
	for range rounds {
		r.store.SetFaults(faults[r.random.IntN(len(faults))])
		time.Sleep(rand1(r.random, 6*time.Second))
		if r.random.IntN(4) == 0 {
			time.Sleep(20 * time.Second)
		}
		if r.random.IntN(3) == 0 {
			r.replace(r.random.IntN(5))
		}
	}
	r.store.SetFaults(kvserver.Faults{})
}

// replace crashes a daemon that has what its peers have, and starts another.
func (r *trial) replace(i int) {
	r.crash(i)
	time.Sleep(rand1(r.random, 3*time.Second))
	r.reconnect(i)
	d := r.start(i)
	r.mu().Lock()
	r.daemons[i] = d
	r.mu().Unlock()
	time.Sleep(3 * time.Second)
}

func runTrial(t *testing.T, seed uint64, careless bool) (r *trial) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		r = &trial{
			fleet: f, random: rand.New(rand.NewPCG(seed, 1)), careless: careless,
			reads: map[ident.Incarnation]*history{}, over: make(chan struct{}),
		}
		f.until(5*time.Second, "all know each other", f.acquainted)
		r.operators.Add(3)
		r.reader.Add(1)
		go r.read()
		for client := range 3 {
			go r.operate(client, 6, rand.New(rand.NewPCG(seed, uint64(client)+2)))
		}
		r.harm(8)
		r.operators.Wait()
		close(r.over)
		r.reader.Wait()
		r.converged()
	})
	return r
}

// converged waits until every daemon has what the register holds.
func (r *trial) converged() {
	entry, err := r.store.Get(context.Background(), "config/head")
	if err != nil || entry.Revision == 0 {
		return
	}
	head, err := config.DecodeHead(entry.Value)
	if err != nil {
		r.t.Fatal(err)
	}
	r.until(30*time.Second, "every daemon has the register's head", r.inForce(head.Generation))
}

// Operators race over five daemons while the key-value service is down, slow,
// silent or loses answers, and daemons are replaced. Somebody would be told
// "accepted" of a change that another one overwrote unseen, or a daemon would
// show an older generation after a newer one.
func TestHistoriesOfTheRegister(t *testing.T) {
	t.Parallel()
	accepts, unknowns := 0, 0
	for seed := uint64(1); seed <= *trials; seed++ {
		is := is.New(t)
		r := runTrial(t, seed, false)
		is.True(porcupine.CheckOperations(registerModel(), r.register.all))
		is.True(porcupine.CheckOperations(inForceModel(), r.starts.all))
		for _, h := range r.reads {
			is.True(porcupine.CheckOperations(inForceModel(), h.all))
		}
		for _, op := range r.register.all {
			switch op.Output.(told).outcome {
			case accepted:
				accepts++
			case unknown:
				unknowns++
			}
		}
	}
	t.Logf("%d accepted, %d unknown", accepts, unknowns)
	if accepts < int(*trials)*8 {
		t.Errorf("only %d submissions were accepted: the trials prove little", accepts)
	}
}

// An operator's tool that sends a change again under a new ID, in place of the
// same, changes the register twice for one answer. The checker has to see it.
func TestCheckerSeesRepetitionUnderNewID(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := runTrial(t, 1, true)
	is.True(!porcupine.CheckOperations(registerModel(), r.register.all))
}
