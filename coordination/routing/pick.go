package routing

import (
	"fmt"
	"math"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
)

// Request is what a choice depends on.
type Request struct {
	Model   string
	Adapter string
	// Prefix is the hashes of the prompt's whole blocks, or of its whole parts
	// where PrefixTokens is set.
	Prefix []prefix.Hash
	// PrefixTokens is the tokens up to the end of each element of Prefix; nil
	// means blocks of prefix.BlockTokens.
	PrefixTokens []int
	PromptTokens int
	// Shared is the element of Prefix up to which other requests have the same
	// prompt, zero for none, and SharedTokens its tokens. See Table.home.
	Shared       prefix.Hash
	SharedTokens int
	// OutputTokens is how many are expected.
	OutputTokens int
	// Long work goes where a reclaim is least likely, as long as its first
	// token comes at most Slack later than at the fastest runner.
	Long  bool
	Slack time.Duration
	// Fetchable says that a runner can copy the shared part from another one that
	// has it cached.
	Fetchable bool
	// Exclude are runners not to choose; see Table.Exclude.
	Exclude prefix.Set
}

// Choice is the runner that a request should go to.
type Choice struct {
	Runner  ident.RunnerID
	Address string
	// Estimate is the expected time to first token.
	Estimate time.Duration
	// CachedBlocks is how many elements of the prefix the runner is thought to
	// hold.
	CachedBlocks int
	// Uncached is the prompt tokens that are to be computed.
	Uncached int
	// QueuedAhead is the prompt tokens that are to be computed there before, Running the
	// requests that are in progress there.
	QueuedAhead int
	Running     int
	// FetchFrom is the address of a runner to copy the shared part from; empty is
	// none.
	FetchFrom string
	slot      int
	epoch     uint32
}

// NoRunnerError says that no runner can take a request.
type NoRunnerError struct{ Cause Cause }

// Cause tells why no runner can take a request.
type Cause string

// Causes of NoRunnerError.
const (
	NoneLive  Cause = "none_live"
	NotLoaded Cause = "not_loaded"
	AllTried  Cause = "all_tried"
)

func (e *NoRunnerError) Error() string { return fmt.Sprintf("no runner: %s", e.Cause) }

var (
	errNoneLive  = &NoRunnerError{NoneLive}
	errNotLoaded = &NoRunnerError{NotLoaded}
	errAllTried  = &NoRunnerError{AllTried}
)

// Exclude returns the set of the given runners.
func (t *Table) Exclude(ids ...ident.RunnerID) prefix.Set {
	var s prefix.Set
	for _, id := range ids {
		if i, ok := t.byID[id]; ok {
			s = s.With(i)
		}
	}
	return s
}

// Pick chooses the runner for a request. It allocates nothing. Errors are
// *NoRunnerError.
func (t *Table) Pick(_ time.Time, r *Request) (Choice, error) {
	eligible, err := t.eligible(r)
	if err != nil {
		return Choice{}, err
	}
	t.matchPrefix(r)
	t.homeSlot = t.home(r, eligible)
	var estimates [MaxRunners]float64
	if !r.Long || t.cfg.IgnoreRisk {
		best := t.fastest(t.withinLoadBound(t.sample(eligible)), r, &estimates)
		return t.choice(best, r), nil
	}
	candidates := t.withinLoadBound(eligible)
	best := t.fastest(candidates, r, &estimates)
	safe := t.lowestRisk(candidates, r, &estimates, estimates[best]+r.Slack.Seconds())
	best = t.fastest(t.sample(safe), r, &estimates)
	return t.choice(best, r), nil
}

// Choose returns the choice of a runner that was picked elsewhere; false if it
// is not in the table.
func (t *Table) Choose(id ident.RunnerID, r *Request) (Choice, bool) {
	i, ok := t.byID[id]
	if !ok {
		return Choice{}, false
	}
	t.matchPrefix(r)
	t.homeSlot = noHome
	return t.choice(i, r), true
}

// choice describes the chosen runner as it is known to be. Unless homes are trusted
// the guess that one holds a prompt is over: nobody has told of it, so the prompt has
// to be read, and taken for cached it would hide the largest work there is from
// whoever counts it.
func (t *Table) choice(i int, r *Request) Choice {
	if !t.trustHomes {
		t.homeSlot = noHome
	}
	estimate := t.estimate(i, r)
	s := &t.slots[i]
	uncached, from := t.uncached(i, r), t.fetchSource(i, r)
	if from != "" {
		uncached = max(1, r.PromptTokens-r.SharedTokens)
	}
	return Choice{
		FetchFrom:    from,
		Runner:       s.runner.ID,
		Address:      s.runner.Address,
		Estimate:     time.Duration(estimate * float64(time.Second)),
		CachedBlocks: t.cachedBlocks(i),
		Uncached:     uncached,
		QueuedAhead:  int(t.scores[i].queuedTokens),
		Running:      s.requestsInProgress(t.scores[i].inFlight),
		slot:         i,
		epoch:        s.epoch,
	}
}

// fetchSource is the address of a runner that is known to hold the shared part, which
// the chosen one lacks. One that is leaving will do: its cache is lost otherwise.
func (t *Table) fetchSource(i int, r *Request) string {
	if !r.Fetchable || r.Shared == 0 || t.cachedTokens(i, r) >= r.SharedTokens {
		return ""
	}
	holders := t.index.Holders(r.Shared).And(t.used).Less(t.ejected).Less(t.suspect).Without(i)
	if live := holders.And(t.live); !live.Empty() {
		holders = live
	}
	if holders.Empty() {
		return ""
	}
	return t.slots[t.random(holders)].runner.Address
}

// eligible returns the slots that may serve the request: live ones that have
// the wanted version, else any version, else ones that have not reported yet.
// Suspect and ejected runners are used only where no other is left: the caller
// is better served by a try, which the retry budget bounds, than by a refusal.
func (t *Table) eligible(r *Request) (prefix.Set, error) {
	usable := t.live.Or(t.suspect)
	if usable.Empty() {
		return prefix.Set{}, errNoneLive
	}
	if usable.Less(r.Exclude).Empty() {
		return prefix.Set{}, errAllTried
	}
	p := t.loadedOn[modelKey{r.Model, r.Adapter}]
	for _, states := range [...]prefix.Set{t.live.Less(t.ejected), usable} {
		states = states.Less(r.Exclude)
		for _, loaded := range [...]prefix.Set{p.wanted, p.other, t.reported.Not()} {
			if found := states.And(loaded); !found.Empty() {
				return found, nil
			}
		}
	}
	if !usable.And(p.wanted.Or(p.other)).Empty() {
		return prefix.Set{}, errAllTried
	}
	return prefix.Set{}, errNotLoaded
}

func (t *Table) matchPrefix(r *Request) {
	t.depths.Held, t.depths.Deepest = prefix.Set{}, prefix.Set{}
	if !t.cfg.IgnorePrefix {
		t.index.Match(r.Prefix, &t.depths)
	}
}

// sample keeps the runners with the longest cached prefix and a few random
// ones. Were all gateways to take the best of all by the same lagging reports,
// they would all send to the same runner until its next report.
func (t *Table) sample(from prefix.Set) prefix.Set {
	if t.cfg.Samples <= 0 || from.Len() <= t.cfg.Samples {
		return from
	}
	chosen := from.And(t.depths.Deepest)
	if t.homeSlot != noHome && from.Has(t.homeSlot) {
		chosen = chosen.With(t.homeSlot)
	}
	rest := from.Less(chosen)
	for n := t.cfg.Samples; n > 0 && !rest.Empty(); n-- {
		i := t.random(rest)
		chosen = chosen.With(i)
		rest = rest.Without(i)
	}
	return chosen
}

// SetSamples changes how many random candidates a choice looks at; see Config.Samples.
func (t *Table) SetSamples(n int) { t.cfg.Samples = n }

func (t *Table) random(from prefix.Set) int {
	for skip := t.rng.IntN(from.Len()); skip > 0; skip-- {
		from = from.Without(from.First())
	}
	return from.First()
}

// withinLoadBound leaves out runners that have far more of this gateway's requests than
// the mean, whatever their reports say: a report that lags or lies would draw
// all work to one runner.
func (t *Table) withinLoadBound(from prefix.Set) prefix.Set {
	if t.cfg.LoadBound <= 0 {
		return from
	}
	total := 0
	for i := range from.All() {
		total += t.scores[i].inFlight
	}
	limit := int(math.Ceil(t.cfg.LoadBound * float64(total+1) / float64(from.Len())))
	within := from
	for i := range from.All() {
		if t.scores[i].inFlight >= limit {
			within = within.Without(i)
		}
	}
	if within.Empty() {
		return from
	}
	return within
}

// fastest fills in the candidates' estimates and returns the least one. The
// search starts at a random slot so that gateways differ among equals.
func (t *Table) fastest(candidates prefix.Set, r *Request, estimates *[MaxRunners]float64) int {
	tieBreak := t.rng.IntN(MaxRunners)
	best := -1
	for i := range candidates.All() {
		estimates[i] = t.estimate(i, r)
		if best < 0 || estimates[i] < estimates[best] || estimates[i] == estimates[best] && best < tieBreak && i >= tieBreak {
			best = i
		}
	}
	return best
}

// estimate is the expected time to first token in seconds: the tokens queued
// ahead and the own uncached ones at the prefill rate, the wait for a place in
// the batch and for room in the KV cache, and the way there.
func (t *Table) estimate(i int, r *Request) float64 {
	s := &t.scores[i]
	seconds := s.remotePenalty + s.batchWait + (s.queuedTokens+float64(t.uncached(i, r)))*s.perToken
	if missing := float64(r.PromptTokens+r.OutputTokens) - s.freeTokens; missing > 0 {
		seconds += missing * s.perOutput
	}
	return seconds
}

func (t *Table) cachedBlocks(i int) int {
	if !t.depths.Held.Has(i) {
		return 0
	}
	return int(t.depths.Blocks[i])
}

// uncached is at least one token: an engine computes the last one anew.
func (t *Table) uncached(i int, r *Request) int {
	return max(1, r.PromptTokens-t.cachedTokens(i, r))
}

func (t *Table) cachedTokens(i int, r *Request) int {
	cached := 0
	if n := t.cachedBlocks(i); n > 0 && r.PrefixTokens != nil {
		cached = r.PrefixTokens[n-1]
	} else if n > 0 {
		cached = n * prefix.BlockTokens
	}
	if i == t.homeSlot {
		cached = max(cached, r.SharedTokens)
	}
	return cached
}

// noHome is the home of a prompt that shares nothing.
const noHome = -1

// home is the runner at which daemons that have not told each other expect a
// shared prompt to be cached: the one with the highest hash of both. Each daemon
// knows only where it sent the prompt itself; without a common guess every one
// of them would have it computed at a runner of its own first. Once a runner is
// known to hold it there is nothing to guess: the hash may point at one that has
// just started and holds nothing.
func (t *Table) home(r *Request, from prefix.Set) int {
	if r.Shared == 0 || t.cfg.IgnorePrefix {
		return noHome
	}
	known := from
	if r.Fetchable {
		// What a leaving runner holds can still be copied.
		known = t.used
	}
	if !t.index.Holders(r.Shared).And(known).Empty() {
		return noHome
	}
	best, bestHash := noHome, uint64(0)
	for i := range from.All() {
		if h := mix(uint64(r.Shared) ^ t.slots[i].hash); best == noHome || h > bestHash {
			best, bestHash = i, h
		}
	}
	return best
}

// TrustHomes says whether a shared prompt that no runner is known to hold counts as
// cached at its home. It does while too little is known, as after a restart: runners
// hold then what nobody remembers to have sent them.
func (t *Table) TrustHomes(trust bool) { t.trustHomes = trust }

// mix spreads the bits of a number over all of it (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// riskTolerance is the difference in risk that is none.
const riskTolerance = 0.0005

// lowestRisk returns the candidates with the least risk among those whose estimate
// is within the limit.
func (t *Table) lowestRisk(candidates prefix.Set, r *Request, estimates *[MaxRunners]float64, limit float64) prefix.Set {
	var risks [MaxRunners]float64
	lowest := math.Inf(1)
	for i := range candidates.All() {
		risks[i] = math.Inf(1)
		if estimates[i] <= limit {
			risks[i] = t.risk(i, r)
		}
		lowest = min(lowest, risks[i])
	}
	var safe prefix.Set
	for i := range candidates.All() {
		if risks[i] <= lowest+riskTolerance {
			safe = safe.With(i)
		}
	}
	return safe
}

// risk is the probability of a reclaim while the request runs, plus the price
// in the same unit.
func (t *Table) risk(i int, r *Request) float64 {
	s := &t.scores[i]
	return s.hazard*float64(r.OutputTokens) + s.price
}
