// Package routing decides which runner of one model service gets a request.
//
// It is pure: it reads no clock and does no I/O. The table learns of runners
// from the directory, of their load from reports that lag, and of their prefix
// caches from events that are late and gappy; it corrects all three by what
// this gateway itself has dispatched and seen completed since.
package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/prefix"
)

// MaxRunners is the most runners that one table deals with.
const MaxRunners = prefix.Slots

// Config sets a table's policy.
type Config struct {
	// Self names the gateway; it decides which runners of a long list are its.
	Self ident.DaemonID
	// FailureDomain is the gateway's own.
	FailureDomain ident.FailureDomain
	// Samples is how many random candidates a choice looks at besides the
	// runners with the longest cached prefix; zero looks at all.
	Samples int
	// IgnorePrefix leaves the prefix index out of the choice.
	IgnorePrefix bool
	// IgnoreRisk places long work as any other.
	IgnoreRisk bool
	// LoadBound excludes a runner on which this gateway has more than this
	// many times the mean of requests in progress; zero is no bound.
	LoadBound float64
	// RemotePenalty is what a runner in another failure domain adds to the
	// time to first token.
	RemotePenalty time.Duration
	// PriceWeight is the probability of a reclaim that a long request accepts
	// to run at no price instead of at the highest in the table.
	PriceWeight float64
	// PrefillRate and DecodeRate, in tokens per second, stand in until a
	// runner reports its own.
	PrefillRate float64
	DecodeRate  float64
	// Output is the mean output of a request, in tokens, until answers have been seen.
	Output float64
	// Batch is the places in a runner's batch until it reports them, or more
	// requests than that.
	Batch int
	// PrefixCapacity bounds the prefix index, in blocks.
	PrefixCapacity int
	Hazard         HazardConfig
	Seed           uint64
}

// Default returns the policy in use; docs/design/routing.md gives the reasons.
func Default(self ident.DaemonID, domain ident.FailureDomain) Config {
	return Config{
		Self:           self,
		FailureDomain:  domain,
		Samples:        2,
		LoadBound:      2,
		RemotePenalty:  4 * time.Millisecond,
		PriceWeight:    0.005,
		PrefillRate:    8000,
		DecodeRate:     50,
		Output:         defaultMeanOutput,
		Batch:          16,
		PrefixCapacity: 1 << 16,
		Hazard:         DefaultHazard(),
	}
}

type slot struct {
	used  bool
	epoch uint32
	// hash of the runner's id.
	hash        uint64
	runner      view.Runner
	reported    bool
	report      load.Report
	prefillRate float64
	decodeRate  float64
	freeTokens  float64
	// batchSize is the size of the batch.
	batchSize int
	// pendingPrefill and pendingKV count own work in progress.
	pendingPrefill float64
	pendingKV      float64
	// sincePrefill and the others sum the changes after the last report.
	sincePrefill  float64
	sinceKV       float64
	sinceRequests int
	hazard        float64
}

type modelKey struct{ model, adapter string }

type loadedSlots struct{ wanted, other prefix.Set }

// Table routes the requests of one service. It is not safe for concurrent use.
type Table struct {
	cfg      Config
	slots    [MaxRunners]slot
	scores   [MaxRunners]score
	logs     [MaxRunners]changeLog
	byID     map[ident.RunnerID]int
	index    *prefix.Index
	hazard   *Hazard
	rng      *rand.Rand
	models   []manifest.Model
	loadedOn map[modelKey]loadedSlots
	used     prefix.Set
	live     prefix.Set
	suspect  prefix.Set
	ejected  prefix.Set
	reported prefix.Set
	maxPrice float64
	// meanOutput is the mean meanOutput tokens of a request.
	meanOutput float64
	depths     prefix.Depths
	// homeSlot is the home of the request that is being placed.
	homeSlot   int
	trustHomes bool
}

// New returns a table without runners.
func New(cfg Config) *Table {
	return &Table{
		cfg:        cfg,
		byID:       map[ident.RunnerID]int{},
		index:      prefix.NewIndex(cfg.PrefixCapacity),
		hazard:     NewHazard(cfg.Hazard),
		rng:        rand.New(rand.NewPCG(cfg.Seed, 1)),
		loadedOn:   map[modelKey]loadedSlots{},
		meanOutput: cfg.Output,
		// No request is being placed yet.
		homeSlot: noHome,
	}
}

// SetModels tells the versions that should serve from now on.
func (t *Table) SetModels(models []manifest.Model) {
	t.models = models
	t.indexModels()
}

// SetRunners replaces the list of the service's runners, of which the table
// deals with a Subset. One that is leaving, gone or no longer listed gets no
// request from this call on.
func (t *Table) SetRunners(now time.Time, runners []view.Runner) {
	t.hazard.observe(now, runners)
	subset := Subset(t.cfg.Self, runners, MaxRunners)
	t.removeUnlisted(subset)
	for i := range subset {
		t.setRunner(subset[i])
	}
	t.refresh(now)
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
		t.ejected = t.ejected.Without(i)
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
		t.slots[i] = slot{used: true, epoch: t.slots[i].epoch + 1, hash: xxhash.Sum64String(string(r.ID)), prefillRate: t.cfg.PrefillRate, decodeRate: t.cfg.DecodeRate, batchSize: t.cfg.Batch}
	}
	s := &t.slots[i]
	if s.runner.State == view.Leaving {
		// A lagging list may still call it live; leaving is final.
		r.State = view.Leaving
	}
	s.runner = r
	t.scores[i].remotePenalty = 0
	if r.FailureDomain != t.cfg.FailureDomain {
		t.scores[i].remotePenalty = t.cfg.RemotePenalty.Seconds()
	}
	t.rescore(i)
}

// refresh derives from the slots what choices read.
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

// indexModels derives which slots serve which model and adapter.
func (t *Table) indexModels() {
	clear(t.loadedOn)
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

func (t *Table) indexModelKey(i int, p modelKey, wanted bool) {
	at := t.loadedOn[p]
	if wanted {
		at.wanted = at.wanted.With(i)
	} else {
		at.other = at.other.With(i)
	}
	t.loadedOn[p] = at
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

// SetEjected takes a runner out of the choice or back in.
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

// Report takes in what a runner published, corrected by own changes since.
func (t *Table) Report(now time.Time, id ident.RunnerID, r load.Report) {
	i, ok := t.byID[id]
	if !ok {
		return
	}
	s := &t.slots[i]
	if s.reported && r.AsOf.Before(s.report.AsOf) {
		return
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
	if replaced {
		t.refresh(now)
	}
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

// CacheEvents takes in a page of a runner's cache events; see prefix.Index.
func (t *Table) CacheEvents(id ident.RunnerID, p prefix.Page) error {
	i, ok := t.byID[id]
	if !ok {
		return nil
	}
	if err := t.index.Apply(i, p); err != nil {
		return fmt.Errorf("cache events of %s: %w", id, err)
	}
	return nil
}

// Assume notes that another daemon has sent a prompt with the prefix to a runner.
func (t *Table) Assume(id ident.RunnerID, chain []prefix.Hash) {
	if i, ok := t.byID[id]; ok {
		t.index.Assume(i, chain)
	}
}

// Cursor is the sequence number from which to read a runner's cache events.
func (t *Table) Cursor(id ident.RunnerID) uint64 {
	i, ok := t.byID[id]
	if !ok {
		return 0
	}
	return t.index.Cursor(i)
}

// PrefixBlocks is the number of blocks in the prefix index.
func (t *Table) PrefixBlocks() int { return t.index.Len() }

// Runners appends the listed runners that are not leaving to dst.
func (t *Table) Runners(dst []view.Runner) []view.Runner {
	for i := range t.live.Or(t.suspect).All() {
		dst = append(dst, t.slots[i].runner)
	}
	return dst
}

// OwnLoad is this daemon's own work at one runner.
type OwnLoad struct {
	Runner ident.RunnerID
	// Prefill is prompt tokens that wait for their first token, KV all tokens of
	// the requests in progress.
	Prefill  int
	KV       int
	Requests int
}

// OwnLoads appends the own work at every runner in the table to dst.
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
