package actions

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// epoch is the wall-clock time at which virtual time starts.
var epoch = time.Unix(1_700_000_000, 0)

// actionStore runs the actions of one gateway at most once.
type actionStore interface {
	// token returns the start of action keys, to which callers append a suffix.
	token() string
	submit(id actionkey.ID, done func(action.Result))
	// verdict returns what another gateway can tell about an action after a crash.
	verdict(id actionkey.ID) refusal.Executed
}

// try is the use of one key by a caller.
type try struct {
	received            time.Duration
	gateway             int
	runs                int
	answered            bool
	reportedNotExecuted bool
}

// run is one simulation of an arm.
type run struct {
	clock
	rng     *rand.Rand
	service *service
	stores  []actionStore
	tokens  []heldToken
	tries   map[actionkey.ID]*try
	number  int
	// crashed is the index of the crashed gateway, or -1.
	crashed int

	sampling    bool
	samples     *hdrhistogram.Histogram
	offered     int
	served      int
	servedFirst int
	grace       time.Duration
}

type heldToken struct {
	text string
	at   time.Duration
}

// drainTime is the time for outstanding answers at the end of a run.
const drainTime = 30 * time.Second

func newRun(a arm, seed uint64) *run {
	r := &run{
		rng:     rand.New(rand.NewPCG(seed, 11)),
		tokens:  make([]heldToken, gateways),
		tries:   map[actionkey.ID]*try{},
		crashed: -1,
		samples: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	r.service = &service{clock: &r.clock, rng: r.rng, entries: map[string][]byte{}}
	for i := range gateways {
		r.stores = append(r.stores, r.newActionStore(a, i))
	}
	return r
}

func (r *run) newActionStore(a arm, gateway int) actionStore {
	name := ident.NewIncarnation(ident.DaemonID("entry-"+strconv.Itoa(gateway)), []byte{byte(gateway)})
	cfg := action.DefaultConfig(name)
	if a.writesPerSecond > 0 {
		cfg.Journal.WritesPerSecond = a.writesPerSecond
	}
	if a.lifetime > 0 {
		cfg.TokenLifetime = a.lifetime
		cfg.Journal.KeyRetention = time.Second
	}
	r.grace = cfg.TokenLifetime + cfg.Journal.KeyRetention
	if a.perAction {
		return &perAction{r: r, gateway: gateway, name: name, done: map[actionkey.ID]*record{}}
	}
	return &journalStore{
		r: r, gateway: gateway, owner: action.NewOwner(epoch, cfg),
		waiting: map[action.Waiter]func(action.Result){},
	}
}

// retention is the age at which an entry can be collected.
func (r *run) retention() time.Duration { return r.grace }

func (r *run) wall() time.Time { return epoch.Add(r.now) }

// offer schedules Poisson arrivals of actions at a mean rate.
func (r *run) offer(rate float64, from, to time.Duration) {
	gap := time.Duration(-math.Log(1-r.rng.Float64()) / rate * float64(time.Second))
	at := from + gap
	if at >= to {
		return
	}
	r.after(at-r.now, func() {
		r.arrive()
		r.offer(rate, at, to)
	})
}

func (r *run) startSample() {
	r.sampling = true
	r.service.calls = 0
}

// arrive starts one action of a caller.
func (r *run) arrive() {
	gateway := r.rng.IntN(gateways)
	counted := r.sampling
	if counted {
		r.offered++
	}
	r.attempt(gateway, 1, counted)
}

// attempt sends an action under a new key. If it is refused as not executed, the
// caller retries with another key after the delay that the refusal advises.
func (r *run) attempt(gateway, number int, counted bool) {
	r.number++
	id := actionkey.ID{Workspace: "huaman", Key: r.heldToken(gateway, number) + "k" + strconv.Itoa(r.number)}
	t := &try{received: r.now, gateway: gateway}
	r.tries[id] = t
	first := true
	done := func(res action.Result) {
		t.answered = true
		if res.Executed() == refusal.ExecutedNo {
			t.reportedNotExecuted = true
		}
		if !first {
			return
		}
		first = false
		r.handleResult(res, gateway, number, counted)
	}
	r.stores[gateway].submit(id, done)
	if r.rng.Float64() < duplicateShare {
		r.after(time.Duration(r.rng.Int64N(int64(100*time.Millisecond))), func() {
			if r.crashed != gateway {
				r.stores[gateway].submit(id, done)
			}
		})
	}
}

func (r *run) handleResult(res action.Result, gateway, number int, counted bool) {
	if res.Executed() == refusal.ExecutedYes {
		if counted {
			r.served++
			if number == 1 {
				r.servedFirst++
			}
		}
		return
	}
	refused := res.Refusal
	if refused.Executed == refusal.ExecutedNo && refused.RetryAfter > 0 && number < callerTries {
		r.after(refused.RetryAfter, func() { r.attempt(gateway, number+1, counted) })
	}
}

// heldToken returns the token that callers of a gateway share for tokenAge. A retry
// after a refusal gets a new token.
func (r *run) heldToken(gateway, number int) string {
	t := &r.tokens[gateway]
	if t.text == "" || number > 1 || r.now-t.at > tokenAge {
		*t = heldToken{text: r.stores[gateway].token(), at: r.now}
	}
	return t.text
}

// dispatchToRunner sends an action to a runner, which always answers.
func (r *run) dispatchToRunner(id actionkey.ID, finished func(action.Result)) {
	t := r.tries[id]
	if t.runs == 0 && r.sampling {
		// No latency within a run exceeds the limit of the histogram.
		_ = r.samples.RecordValue(max(1, int64((r.now-t.received)/time.Microsecond)))
	}
	r.after(runnerTime, func() {
		t.runs++
		if r.crashed != t.gateway {
			finished(action.Result{Answer: call.Answer{Status: 200, Body: []byte("ok")}})
		}
	})
}

// finish runs the simulation until outstanding answers have arrived.
func (r *run) finish() {
	r.sampling = false
	r.runUntil(r.now + drainTime)
}

func (r *run) latency() (p50, p99 float64) {
	microsecond := time.Microsecond.Seconds()
	return float64(r.samples.ValueAtQuantile(50)) * microsecond, float64(r.samples.ValueAtQuantile(99)) * microsecond
}

func (r *run) servedRatio() float64 { return float64(r.served) / float64(r.offered) }

// putViolations adds the counts of violated guarantees.
func (r *run) putViolations(sums map[string]*mean) {
	twice, falseNo := 0, 0
	for _, t := range r.tries {
		if t.runs > 1 {
			twice++
		}
		if t.runs > 0 && t.reportedNotExecuted {
			falseNo++
		}
	}
	put(sums, "run_twice", float64(twice), true)
	put(sums, "false_not_executed", float64(falseNo), true)
}

// verdicts counts actions and unknown outcomes after a crash.
type verdicts struct{ open, openUnknown, recent, recentUnknown int }

func (v *verdicts) add(o verdicts) {
	v.open += o.open
	v.openUnknown += o.openUnknown
	v.recent += o.recent
	v.recentUnknown += o.recentUnknown
}

// crashOwner crashes a gateway and counts what another gateway can tell about its
// actions.
func (r *run) crashOwner(gateway int, lookBack time.Duration) verdicts {
	r.crashed = gateway
	from := r.now - lookBack
	r.runUntil(r.now + drainTime) // dispatched actions still run
	var v verdicts
	for id, t := range r.tries {
		if t.gateway != gateway || t.received < from {
			continue
		}
		said := r.stores[gateway].verdict(id)
		if said == refusal.ExecutedNo {
			t.reportedNotExecuted = true
		}
		unknown := 0
		if said == refusal.ExecutedUnknown {
			unknown = 1
		}
		v.recent++
		v.recentUnknown += unknown
		if !t.answered {
			v.open++
			v.openUnknown += unknown
		}
	}
	return v
}

// journalStore is the project's policy: the real owner with its journal.
type journalStore struct {
	r       *run
	gateway int
	owner   *action.Owner
	waiting map[action.Waiter]func(action.Result)
	waiters action.Waiter
	wakeAt  time.Duration
	log     *journal.Log
}

func (j *journalStore) token() string { return j.owner.Token(j.r.wall()).String() }

func (j *journalStore) submit(id actionkey.ID, done func(action.Result)) {
	j.waiters++
	j.waiting[j.waiters] = done
	j.apply(j.owner.Submit(j.r.wall(), action.Request{
		Waiter: j.waiters, ID: id, BodyHash: "h", Policy: manifest.OutageRun,
	}))
}

func (j *journalStore) apply(effects []action.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case *action.Reply:
			done := j.waiting[e.Waiter]
			delete(j.waiting, e.Waiter)
			done(e.Result)
		case *action.Dispatch:
			j.r.dispatchToRunner(e.ID, func(res action.Result) { j.apply(j.owner.Finished(j.r.wall(), e.ID, res)) })
		case *action.Write:
			j.write(e)
		case *action.Collect:
			key := journal.EntryKey(j.owner.Incarnation(), e.Index)
			j.r.service.call(func() { delete(j.r.service.entries, key) }, func(bool) {})
		}
	}
	j.wake()
}

func (j *journalStore) write(w *action.Write) {
	key := journal.EntryKey(j.owner.Incarnation(), w.Index)
	j.r.service.call(func() { j.r.service.entries[key] = w.Value }, func(ok bool) {
		if j.r.crashed == j.gateway {
			return
		}
		status := journal.Created
		if !ok {
			status = journal.Unknown
		}
		j.apply(j.owner.Written(j.r.wall(), journal.Written{Index: w.Index, Status: status}))
	})
}

// wake schedules the owner's next tick.
func (j *journalStore) wake() {
	due := j.owner.NextDue(j.r.wall())
	if due.IsZero() {
		return
	}
	at := max(due.Sub(epoch), j.r.now+time.Millisecond)
	if j.wakeAt > j.r.now && j.wakeAt <= at {
		return
	}
	j.wakeAt = at
	j.r.after(at-j.r.now, func() {
		if j.r.crashed != j.gateway {
			j.apply(j.owner.Tick(j.r.wall()))
		}
	})
}

func (j *journalStore) verdict(id actionkey.ID) refusal.Executed {
	if j.log == nil {
		j.log = j.seal()
	}
	return j.log.Verdict(j.r.wall(), id, "h").Executed
}

func (j *journalStore) seal() *journal.Log {
	owner := j.owner.Incarnation()
	log := journal.NewLog(owner)
	count := 0
	for key := range j.r.service.entries {
		if strings.HasPrefix(key, journal.Prefix(owner)) {
			count++
		}
	}
	for index := uint64(0); count > 0; index++ {
		key := journal.EntryKey(owner, index)
		value, ok := j.r.service.entries[key]
		if !ok {
			continue
		}
		count--
		if e, err := journal.Decode(key, value); err == nil {
			log.Add(index, e)
		}
	}
	log.Add(log.Next(), journal.Entry{Seal: &journal.Seal{By: "entry-x~00"}})
	return log
}
