package routing

import (
	"fmt"
	"math"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
)

// Request holds the properties of a request that routing depends on.
type Request struct {
	Model   string
	Adapter string
	// Prefix holds the hashes of the prompt's complete blocks, or of its complete
	// segments if PrefixTokens is set.
	Prefix []prefix.Hash
	// PrefixTokens holds the number of tokens up to the end of each element of Prefix.
	// Nil means blocks of prefix.BlockTokens tokens.
	PrefixTokens []int
	PromptTokens int
	// Shared is the last element of Prefix that other requests have in common with
	// this one; zero if there is none. SharedTokens is the number of prompt tokens up to the
	// end of that element. Table.home describes what they are used for.
	Shared       prefix.Hash
	SharedTokens int
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
	// Bytes is the size of the request.
	Bytes int
	// Long requests go to the runners with the lowest risk (see Table.risk) among those whose
	// expected time to first token is at most Slack above that of the fastest runner.
	Long  bool
	Slack time.Duration
	// Fetchable says that a runner can copy the KV cache of the shared prefix from
	// another runner.
	Fetchable bool
	// PauseWeight is the time in seconds that a stream which pauses for too long is worth. A choice adds
	// it, times the runner's pause risk, to the expected time to first token.
	PauseWeight float64
	// Exclude holds the runners that must not be chosen; see Table.Exclude.
	Exclude prefix.Set
}

// Choice is the runner chosen for a request.
type Choice struct {
	Runner  ident.RunnerID
	Address string
	// Estimate is the expected time to first token, without Request.PauseWeight and FailureCost.
	Estimate time.Duration
	// FailureChance is the chance that the runner doesn't serve the request, FailureCost its cost.
	FailureChance float64
	FailureCost   time.Duration
	// CachedBlocks is the number of elements of Prefix that the runner is expected to
	// have cached.
	CachedBlocks int
	// Uncached is the number of prompt tokens that the runner has to compute.
	Uncached int
	// QueuedAhead is the number of prompt tokens queued at the runner before this
	// request. Running is the number of requests running or waiting at the runner.
	QueuedAhead int
	Running     int
	// FetchFrom is the address of a runner to copy the shared prefix from; empty if
	// there is none.
	FetchFrom string
	slot      int
	epoch     uint32
}

// NoRunnerError reports that no runner can take a request.
type NoRunnerError struct{ Cause Cause }

// Cause is the reason why no runner can take a request.
type Cause string

// Values of NoRunnerError.Cause.
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

// Exclude returns the set of slots of the given runners, for Request.Exclude.
func (t *Table) Exclude(ids ...ident.RunnerID) prefix.Set {
	var s prefix.Set
	for _, id := range ids {
		if i, ok := t.byID[id]; ok {
			s = s.With(i)
		}
	}
	return s
}

// Pick chooses the runner for a request. It allocates no memory. Errors are
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

// ChoiceFor returns the Choice for a runner that the caller has already selected. It does not
// check whether the runner accepts requests. It returns false if the runner is not in the table.
func (t *Table) ChoiceFor(id ident.RunnerID, r *Request) (Choice, bool) {
	i, ok := t.byID[id]
	if !ok {
		return Choice{}, false
	}
	t.matchPrefix(r)
	t.homeSlot = noHome
	return t.choice(i, r), true
}

// choice describes slot i as the runner chosen for a request. Unless trustHomes is
// set, a shared prefix counts as uncached at its home: no daemon has reported that the
// runner holds it, so the runner has to compute it. Counting it as cached would hide
// a large part of the queued work from the load figures.
func (t *Table) choice(i int, r *Request) Choice {
	if !t.trustHomes {
		t.homeSlot = noHome
	}
	estimate := t.firstToken(i, r)
	s := &t.slots[i]
	uncached, from := t.uncached(i, r), t.fetchSource(i, r)
	if from != "" {
		uncached = max(1, r.PromptTokens-r.SharedTokens)
	}
	return Choice{
		FetchFrom:     from,
		Runner:        s.runner.ID,
		Address:       s.runner.Address,
		Estimate:      time.Duration(estimate * float64(time.Second)),
		FailureChance: s.failureChance,
		FailureCost:   secondsToDuration(t.scores[i].failureCost),
		CachedBlocks:  t.cachedBlocks(i),
		Uncached:      uncached,
		QueuedAhead:   int(t.scores[i].queuedTokens),
		Running:       s.requestsInProgress(t.scores[i].inFlight),
		slot:          i,
		epoch:         s.epoch,
	}
}

// fetchSource returns the address of a runner that is known to hold the shared prefix
// if the chosen runner lacks it. Live runners are preferred, but a leaving runner also
// qualifies, because its cache is lost otherwise.
func (t *Table) fetchSource(i int, r *Request) string {
	if !r.Fetchable || r.Shared == 0 || t.cachedTokens(i, r) >= r.SharedTokens {
		return ""
	}
	holders := t.index.Holders(r.Shared).And(t.used).Minus(t.ejected).Minus(t.suspect).Without(i)
	if live := holders.And(t.live); !live.Empty() {
		holders = live
	}
	if holders.Empty() {
		return ""
	}
	return t.slots[t.random(holders)].runner.Address
}

// eligible returns the slots that may serve the request: live runners that have loaded
// the wanted version, else any version of the model, else runners that have not
// reported yet. Suspect and ejected runners are used only if no other runner is left:
// such a runner may still answer, which serves the caller better than a refusal.
// The retry budget limits the number of these attempts.
func (t *Table) eligible(r *Request) (prefix.Set, error) {
	usable := t.live.Or(t.suspect)
	if usable.Empty() {
		return prefix.Set{}, errNoneLive
	}
	if usable.Minus(r.Exclude).Empty() {
		return prefix.Set{}, errAllTried
	}
	p := t.loadedSlots[modelKey{r.Model, r.Adapter}]
	for _, states := range [...]prefix.Set{t.live.Minus(t.ejected), usable} {
		states = states.Minus(r.Exclude)
		for _, loaded := range [...]prefix.Set{p.wantedVersion, p.otherVersion, t.reported.Not()} {
			if found := states.And(loaded); !found.Empty() {
				return found, nil
			}
		}
	}
	if !usable.And(p.wantedVersion.Or(p.otherVersion)).Empty() {
		return prefix.Set{}, errAllTried
	}
	return prefix.Set{}, errNotLoaded
}

// matchPrefix sets prefixMatch to the slots that have cached a part of the request's prefix.
func (t *Table) matchPrefix(r *Request) {
	t.prefixMatch.Held, t.prefixMatch.Deepest = prefix.Set{}, prefix.Set{}
	if !t.cfg.IgnorePrefix {
		t.index.Match(r.Prefix, &t.prefixMatch)
	}
}

// sample keeps the runners with the longest cached prefix and a few random ones, of those that fail and of the others
// apart: a few of all may hold no runner that serves. If all gateways took the best of all runners by the same lagging
// reports, they would all send to the same runner until its next report.
func (t *Table) sample(from prefix.Set) prefix.Set {
	if t.cfg.Samples <= 0 || from.Len() <= t.cfg.Samples {
		return from
	}
	chosen := from.And(t.prefixMatch.Deepest)
	if t.homeSlot != noHome && from.Has(t.homeSlot) {
		chosen = chosen.With(t.homeSlot)
	}
	rest := from.Minus(chosen)
	return chosen.Or(t.draw(rest.Minus(t.failing))).Or(t.draw(rest.And(t.failing)))
}

// draw returns Config.Samples random runners of a set, or all if it has no more.
func (t *Table) draw(from prefix.Set) prefix.Set {
	var drawn prefix.Set
	for n := t.cfg.Samples; n > 0 && !from.Empty(); n-- {
		i := t.random(from)
		drawn = drawn.With(i)
		from = from.Without(i)
	}
	return drawn
}

// SetSamples changes how many random candidates a choice considers; see Config.Samples.
func (t *Table) SetSamples(n int) { t.cfg.Samples = n }

func (t *Table) random(from prefix.Set) int { return from.At(t.rng.IntN(from.Len())) }

// withinLoadBound removes runners that have far more of this gateway's requests than
// the mean, regardless of their reports: a runner with a late or wrong report would
// otherwise attract all requests.
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

// fastest fills in the candidates' estimates and returns the slot with the lowest one.
func (t *Table) fastest(candidates prefix.Set, r *Request, estimates *[MaxRunners]float64) int {
	var ties prefix.Set
	var lowest float64
	for i := range candidates.All() {
		estimates[i] = t.estimate(i, r)
		switch {
		case ties.Empty() || estimates[i] < lowest:
			lowest = estimates[i]
			ties = prefix.Set{}.With(i)
		case estimates[i] == lowest:
			ties = ties.With(i)
		}
	}
	return t.breakTie(ties, r)
}

// breakTie returns one of several slots that are equally good for a request. A prompt goes where others that begin alike
// go, also before it is known which parts they share; all else is spread evenly.
func (t *Table) breakTie(ties prefix.Set, r *Request) int {
	if len(r.Prefix) == 0 || t.cfg.IgnorePrefix {
		return t.random(ties)
	}
	return t.rendezvous(uint64(r.Prefix[0]), ties)
}

// rendezvous returns the slot of a set with the highest rendezvous hash of a key and the slot's runner; noHome if the set is
// empty.
func (t *Table) rendezvous(key uint64, from prefix.Set) int {
	best, bestHash := noHome, uint64(0)
	for i := range from.All() {
		if h := mix(key ^ t.slots[i].hash); best == noHome || h > bestHash {
			best, bestHash = i, h
		}
	}
	return best
}

// estimate returns the seconds by which runners are compared: the expected time to first token,
// the cost of the risk that the stream pauses for too long and that of the chance that the runner doesn't serve the
// request.
func (t *Table) estimate(i int, r *Request) float64 {
	return t.firstToken(i, r) + t.scores[i].failureCost + r.PauseWeight*t.scores[i].pauseRisk
}

// firstToken returns the expected time to first token in seconds: the prefill time of the
// queued tokens and of the request's uncached tokens, the wait for a slot in the batch
// and for free KV cache, and the penalty for a remote failure domain.
func (t *Table) firstToken(i int, r *Request) float64 {
	s := &t.scores[i]
	seconds := s.remotePenalty + s.batchWait + (s.queuedTokens+float64(t.uncached(i, r)))*s.prefillSecondsPerToken
	if missing := float64(r.PromptTokens+r.OutputTokens) - s.freeTokens; missing > 0 {
		seconds += missing * s.secondsPerFreedToken
	}
	return seconds
}

// cachedBlocks returns how many elements of Request.Prefix, from the first one on, slot i is
// expected to have cached. It uses the result of the last call of matchPrefix.
func (t *Table) cachedBlocks(i int) int {
	if !t.prefixMatch.Held.Has(i) {
		return 0
	}
	return int(t.prefixMatch.Blocks[i])
}

// uncached returns the number of prompt tokens that slot i would have to compute. It is
// at least one, because an inference engine always recomputes the last prompt token.
func (t *Table) uncached(i int, r *Request) int {
	return max(1, r.PromptTokens-t.cachedTokens(i, r))
}

// cachedTokens returns the number of prompt tokens that slot i is expected to have cached. The home
// slot is assumed to have cached the shared prefix.
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

// noHome is the value of Table.homeSlot for a request without a shared prefix, or with one that
// some runner is already known to hold.
const noHome = -1

// home returns the home slot of a request's shared prefix: the slot with the highest rendezvous
// hash of prefix and runner. It is the common guess of all gateways as to which runner has the
// prefix cached. Until gateways have told each other where they sent a prefix, each of them knows
// only its own requests and, without a common guess, would have the prefix computed at a
// different runner. Once a runner is known to hold the prefix, home returns noHome: the hash
// could point to a runner that has just started with an empty cache.
func (t *Table) home(r *Request, from prefix.Set) int {
	if r.Shared == 0 || t.cfg.IgnorePrefix {
		return noHome
	}
	known := from
	if r.Fetchable {
		// A leaving runner also counts: its cached prefix can still be copied.
		known = t.used
	}
	if !t.index.Holders(r.Shared).And(known).Empty() {
		return noHome
	}
	return t.rendezvous(uint64(r.Shared), from)
}

// TrustHomes sets whether a shared prefix that no runner is known to hold counts as
// cached at its home. Callers turn this on while little is known, as after a restart of
// the daemons: the runners then hold prefixes of which the daemons have no record.
func (t *Table) TrustHomes(trust bool) { t.trustHomes = trust }

// mix distributes the entropy of x over all its bits (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// riskTolerance is the difference in risk, as a probability, up to which two runners count as
// equally safe.
const riskTolerance = 0.0005

// lowestRisk returns the candidates whose risk is at most riskTolerance above the lowest one.
// Candidates whose estimated time to first token is above limit seconds don't count. The risk
// includes the runner's price; see risk.
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

// risk returns the probability of a reclaim while the request runs, plus the runner's
// price expressed in the same unit.
func (t *Table) risk(i int, r *Request) float64 {
	s := &t.scores[i]
	return s.hazard*float64(r.OutputTokens) + s.priceRisk
}
