// Package routing decides which runner of a service gets a request.
//
// The package reads no clock and does no I/O. A Table learns about runners from the
// directory, about their load from reports that lag behind, and about their prefix caches
// from events that can be late or missing. It corrects the reports and the cache events by the
// requests that this gateway has dispatched and seen completed since.
//
// Terms: own requests are those of this gateway, as opposed to those that other gateways send to the
// same runners. A load change is the effect of one dispatch, first token or completion of an own
// request. The hazard of a runner is the rate at which VMs like its own are reclaimed by the cloud.
// The risk of a runner for a request is the probability of a reclaim while the request runs, plus the
// runner's price in the same unit. The home of a shared prefix is the runner that all gateways assume
// to have cached it as long as nothing is known. An ejected runner is kept out of routing because
// calls to it fail (see package health); a suspect runner has not been heard from lately.
package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/prefix"
)

// MaxRunners is the maximum number of runners in one table.
const MaxRunners = prefix.Slots

// Config sets the routing policy of a table.
type Config struct {
	// Self is the ID of the gateway. It determines the gateway's subset of a long runner list.
	Self ident.DaemonID
	// FailureDomain is the failure domain of the gateway. Runners in other ones get RemotePenalty.
	FailureDomain ident.FailureDomain
	// Samples is the number of random candidates that a choice considers in addition
	// to the runners with the longest cached prefix; zero considers all runners.
	Samples int
	// IgnorePrefix routes without regard to cached prefixes.
	IgnorePrefix bool
	// IgnoreRisk routes long requests like all others, without regard to reclaim risk.
	IgnoreRisk bool
	// LoadBound excludes a runner on which this gateway has more than this multiple
	// of the mean number of requests in progress; zero means no bound.
	LoadBound float64
	// RemotePenalty is added to the expected time to first token of a runner in
	// another failure domain.
	RemotePenalty time.Duration
	// FailureCost is the time that a request which its runner doesn't serve is worth. A choice adds it, times the
	// chance of that, to the expected time to first token.
	FailureCost time.Duration
	// PriceWeight weighs a runner's price against the probability that its VM is reclaimed
	// during a long request. The risk of a runner is that probability plus
	// PriceWeight*price/(highest price in the table).
	PriceWeight float64
	// PrefillRate and DecodeRate, in tokens per second, apply until a runner reports
	// its own rates.
	PrefillRate float64
	DecodeRate  float64
	// InitialMeanOutput is the initial mean output length of a request, in tokens.
	InitialMeanOutput float64
	// InitialBatchSize is the batch size of a runner until it reports its own or reports more
	// running requests than that.
	InitialBatchSize int
	// PrefixCapacity is the maximum size of the prefix index, in blocks.
	PrefixCapacity int
	Hazard         HazardConfig
	Seed           uint64
}

// Default returns the policy used in production; docs/design/routing.md gives the reasons.
func Default(self ident.DaemonID, domain ident.FailureDomain) Config {
	return Config{
		Self:              self,
		FailureDomain:     domain,
		Samples:           2,
		LoadBound:         2,
		RemotePenalty:     4 * time.Millisecond,
		FailureCost:       time.Second,
		PriceWeight:       0.005,
		PrefillRate:       8000,
		DecodeRate:        50,
		InitialMeanOutput: defaultMeanOutput,
		InitialBatchSize:  16,
		PrefixCapacity:    1 << 16,
		Hazard:            DefaultHazard(),
	}
}

// slot holds what the table knows of one runner. A slot is a position in Table.slots that a runner
// keeps while it is in the table; sets of runners are sets of slot indexes.
type slot struct {
	used bool
	// epoch changes whenever the slot gets another runner, so that choices and tickets for the
	// earlier runner have no effect.
	epoch uint32
	// hash is the hash of the runner's ID, from which Table.home computes rendezvous hashes.
	hash        uint64
	runner      view.Runner
	reported    bool
	report      load.Report
	prefillRate float64
	decodeRate  float64
	freeTokens  float64
	// batchSize is the number of requests that the runner serves at a time.
	batchSize int
	// pendingPrefill is the number of uncached prompt tokens of this gateway's requests at the
	// runner that have no first token yet. pendingKV is the number of prompt and expected output
	// tokens of all its requests in progress there.
	pendingPrefill float64
	pendingKV      float64
	// prefillSinceReport, kvSinceReport and requestsSinceReport sum this gateway's load changes
	// after the AsOf time of the last report.
	prefillSinceReport  float64
	kvSinceReport       float64
	requestsSinceReport int
	hazard              float64
	// failureChance is the chance that the runner doesn't serve a request.
	failureChance float64
}

// modelKey identifies a model or, if adapter is not empty, one of its adapters.
type modelKey struct{ model, adapter string }

// loadedSlots are the slots whose runners have loaded a model or adapter: in a version that
// SetModels named (wantedVersion), or in another version.
type loadedSlots struct{ wantedVersion, otherVersion prefix.Set }

// Table routes the requests of one service. It is not safe for concurrent use.
type Table struct {
	cfg         Config
	slots       [MaxRunners]slot
	scores      [MaxRunners]score
	logs        [MaxRunners]changeLog
	byID        map[ident.RunnerID]int
	index       *prefix.Index
	hazard      *Hazard
	rng         *rand.Rand
	models      []manifest.Model
	loadedSlots map[modelKey]loadedSlots
	used        prefix.Set
	live        prefix.Set
	suspect     prefix.Set
	ejected     prefix.Set
	// failing are the slots with a failureChance.
	failing  prefix.Set
	reported prefix.Set
	maxPrice float64
	// meanOutput is the mean output length of a request, in tokens.
	meanOutput  float64
	prefixMatch prefix.MatchResult
	// homeSlot is the slot whose runner is assumed to have cached the shared prefix of the
	// request that is being routed; noHome if none is. Table.home selects it.
	homeSlot int
	// trustHomes is set by TrustHomes.
	trustHomes bool
}

// New returns a table without runners.
func New(cfg Config) *Table {
	return &Table{
		cfg:         cfg,
		byID:        map[ident.RunnerID]int{},
		index:       prefix.NewIndex(cfg.PrefixCapacity),
		hazard:      NewHazard(cfg.Hazard),
		rng:         rand.New(rand.NewPCG(cfg.Seed, 1)),
		loadedSlots: map[modelKey]loadedSlots{},
		meanOutput:  cfg.InitialMeanOutput,
		// No request is being routed yet.
		homeSlot: noHome,
	}
}

// SetModels sets the model versions that should be served from now on, canary versions included.
func (t *Table) SetModels(models []manifest.Model) {
	t.models = models
	t.indexModels()
}

// SetRunners replaces the list of the service's runners. The table keeps only the Subset
// for this gateway. From this call on, runners that are leaving, gone or not listed get
// no requests.
func (t *Table) SetRunners(now time.Time, runners []view.Runner) {
	t.hazard.observe(now, runners)
	subset := Subset(t.cfg.Self, t.withoutUselessLeaving(runners), MaxRunners)
	t.removeUnlisted(subset)
	for i := range subset {
		t.setRunner(subset[i])
	}
	t.refresh(now)
}

// Withdraw marks runners as leaving at once, before the next list of all runners.
func (t *Table) Withdraw(now time.Time, ids []ident.RunnerID) {
	found := false
	for _, id := range ids {
		if i, ok := t.byID[id]; ok {
			t.slots[i].runner.State, found = view.Leaving, true
		}
	}
	if found {
		t.refresh(now)
	}
}

// withoutUselessLeaving leaves out the leaving runners that this table doesn't hold if there are
// more runners than it can hold. When most of a large fleet's runners leave at once, they would
// fill the table, and the few that stay would not be used.
func (t *Table) withoutUselessLeaving(runners []view.Runner) []view.Runner {
	if len(runners) <= MaxRunners {
		return runners
	}
	return slices.DeleteFunc(slices.Clone(runners), func(r view.Runner) bool {
		i, held := t.byID[r.ID]
		return r.State == view.Leaving && (!held || t.scores[i].inFlight == 0)
	})
}

func (t *Table) removeUnlisted(runners []view.Runner) {
	listed := make(map[ident.RunnerID]bool, len(runners))
	for i := range runners {
		if runners[i].State != view.Gone {
			listed[runners[i].ID] = true
		}
	}
	for id, i := range t.byID {
		if listed[id] {
			continue
		}
		t.index.Clear(i)
		t.slots[i] = slot{epoch: t.slots[i].epoch + 1}
		t.scores[i] = score{}
		t.logs[i] = changeLog{}
		t.used = t.used.Without(i)
		t.ejected, t.failing = t.ejected.Without(i), t.failing.Without(i)
		t.reported = t.reported.Without(i)
		delete(t.byID, id)
	}
}

func (t *Table) setRunner(r view.Runner) {
	if r.State == view.Gone {
		return
	}
	i, ok := t.byID[r.ID]
	if !ok {
		i = t.used.Not().First()
		t.byID[r.ID] = i
		t.used = t.used.With(i)
		t.slots[i] = slot{used: true, epoch: t.slots[i].epoch + 1, hash: xxhash.Sum64String(string(r.ID)), prefillRate: t.cfg.PrefillRate, decodeRate: t.cfg.DecodeRate, batchSize: t.cfg.InitialBatchSize}
	}
	s := &t.slots[i]
	if s.runner.State == view.Leaving {
		// An outdated list may still show the runner as live; Leaving is final.
		r.State = view.Leaving
	}
	s.runner = r
	t.scores[i].remotePenalty = 0
	if r.FailureDomain != t.cfg.FailureDomain {
		t.scores[i].remotePenalty = t.cfg.RemotePenalty.Seconds()
	}
	t.rescore(i)
}

// refresh recomputes the runner sets, reclaim hazards and scores from the slots.
func (t *Table) refresh(now time.Time) {
	t.live, t.suspect, t.maxPrice = prefix.Set{}, prefix.Set{}, 0
	for i := range t.used.All() {
		t.maxPrice = max(t.maxPrice, t.slots[i].runner.PricePerHour)
	}
	for i := range t.used.All() {
		s := &t.slots[i]
		s.hazard = 0
		if s.runner.Reclaimable {
			s.hazard = t.hazard.RatePerHour(now, s.runner.FailureDomain, s.runner.VMClass) / time.Hour.Seconds()
		}
		t.rescore(i)
		switch s.runner.State {
		case view.Live:
			t.live = t.live.With(i)
		case view.Suspect:
			t.suspect = t.suspect.With(i)
		}
	}
	t.indexModels()
}

// indexModels recomputes which slots serve which model and adapter.
func (t *Table) indexModels() {
	clear(t.loadedSlots)
	for i := range t.reported.All() {
		for j := range t.slots[i].report.Models {
			t.indexModel(i, &t.slots[i].report.Models[j])
		}
	}
}

func (t *Table) indexModel(i int, m *load.Model) {
	if m.Loading {
		return
	}
	wanted := t.isWantedVersion(m.Name, m.Version)
	t.indexModelKey(i, modelKey{m.Name, ""}, wanted)
	for _, a := range m.Adapters {
		t.indexModelKey(i, modelKey{m.Name, a}, wanted)
	}
}

func (t *Table) indexModelKey(i int, key modelKey, wantedVersion bool) {
	entry := t.loadedSlots[key]
	if wantedVersion {
		entry.wantedVersion = entry.wantedVersion.With(i)
	} else {
		entry.otherVersion = entry.otherVersion.With(i)
	}
	t.loadedSlots[key] = entry
}

func (t *Table) isWantedVersion(name, version string) bool {
	for i := range t.models {
		m := &t.models[i]
		if m.Name != name {
			continue
		}
		return m.Version == version || m.Canary != nil && m.Canary.Version == version
	}
	return false
}

// SetEjected excludes a runner from routing or includes it again.
func (t *Table) SetEjected(id ident.RunnerID, ejected bool) {
	i, ok := t.byID[id]
	switch {
	case !ok:
	case ejected:
		t.ejected = t.ejected.With(i)
	default:
		t.ejected = t.ejected.Without(i)
	}
}

// Report replaces a runner's load report. The runner's load is then the report plus this gateway's
// load changes since the report's AsOf time. A report older than the current one is ignored.
func (t *Table) Report(now time.Time, id ident.RunnerID, r load.Report) {
	if t.applyReport(id, r) {
		t.refresh(now)
	}
}

// RunnerReport is the load report of one runner.
type RunnerReport struct {
	Runner ident.RunnerID
	load.Report
}

// ReportAll records several reports. One call costs less than a Report each: the sets of runners
// are recomputed once.
func (t *Table) ReportAll(now time.Time, reports []RunnerReport) {
	replaced := false
	for i := range reports {
		replaced = t.applyReport(reports[i].Runner, reports[i].Report) || replaced
	}
	if replaced {
		t.refresh(now)
	}
}

// applyReport records a report and reports whether the sets of runners must be recomputed.
func (t *Table) applyReport(id ident.RunnerID, r load.Report) bool {
	i, ok := t.byID[id]
	if !ok {
		return false
	}
	s := &t.slots[i]
	if s.reported && r.AsOf.Before(s.report.AsOf) {
		return false
	}
	replaced := !s.reported || !sameModels(s.report.Models, r.Models) || r.Leaving != s.report.Leaving
	s.reported, s.report = true, r
	t.reported = t.reported.With(i)
	if r.Leaving {
		s.runner.State = view.Leaving
	}
	if r.PrefillRate > 0 {
		s.prefillRate = r.PrefillRate
	}
	if r.DecodeRate > 0 {
		s.decodeRate = r.DecodeRate
	}
	s.batchSize = max(s.batchSize, r.Running)
	if r.MaxRunning > 0 {
		s.batchSize = r.MaxRunning
	}
	s.freeTokens = float64(max(r.KVBlocksFree*prefix.BlockTokens, r.KVBlocksTotal*prefix.BlockTokens-r.RunningTokens))
	t.sumChangesSinceReport(i)
	t.rescore(i)
	return replaced
}

func sameModels(a, b []load.Model) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || a[i].Version != b[i].Version || a[i].Loading != b[i].Loading || !sameNames(a[i].Adapters, b[i].Adapters) {
			return false
		}
	}
	return true
}

func sameNames(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// CacheEvents applies a page of a runner's cache events; see prefix.Index.
func (t *Table) CacheEvents(id ident.RunnerID, p prefix.Page) error {
	i, ok := t.byID[id]
	if !ok {
		return nil
	}
	if err := t.index.ApplyPage(i, p); err != nil {
		return fmt.Errorf("cache events of %s: %w", id, err)
	}
	return nil
}

// Assume records that another daemon has sent a prompt with this prefix to a runner.
func (t *Table) Assume(id ident.RunnerID, chain []prefix.Hash) {
	if i, ok := t.byID[id]; ok {
		t.index.Assume(i, chain)
	}
}

// Cursor returns the sequence number from which to read a runner's next cache events.
func (t *Table) Cursor(id ident.RunnerID) uint64 {
	i, ok := t.byID[id]
	if !ok {
		return 0
	}
	return t.index.Cursor(i)
}

// PrefixBlocks returns the number of blocks in the prefix index.
func (t *Table) PrefixBlocks() int { return t.index.Len() }

// AppendRemaining appends the runners in the table that are not leaving to dst.
func (t *Table) AppendRemaining(dst []view.Runner) []view.Runner {
	for i := range t.live.Or(t.suspect).All() {
		dst = append(dst, t.slots[i].runner)
	}
	return dst
}

// OwnLoad is the load that this daemon's own requests put on one runner.
type OwnLoad struct {
	Runner ident.RunnerID
	// Prefill is the number of uncached prompt tokens of requests without a first token. KV is
	// the number of prompt and expected output tokens of all requests in progress.
	Prefill  int
	KV       int
	Requests int
}

// OwnLoads appends the own load on every runner in the table to dst.
func (t *Table) OwnLoads(dst []OwnLoad) []OwnLoad {
	for i := range t.used.All() {
		s := &t.slots[i]
		dst = append(dst, OwnLoad{
			Runner:   s.runner.ID,
			Prefill:  max(0, int(s.pendingPrefill)),
			KV:       max(0, int(s.pendingKV)),
			Requests: t.scores[i].inFlight,
		})
	}
	return dst
}
