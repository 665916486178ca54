package config_test

import (
	"time"

	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

const daemons = 4

// cluster simulates a key-value service, daemons and operators' submissions. A test executes
// one step at a time.
type cluster struct {
	now       time.Time
	head      config.Head
	revision  uint64
	storeDown bool
	sections  map[manifest.Hash][]byte
	// delayedSwaps holds swaps that were sent and may still take effect.
	delayedSwaps []*config.SwapHead

	// followers has one element per daemon, and so has highestInForce: the highest generation
	// that the daemon has had in force since its start.
	followers      []*config.Follower
	fetches        []fetch
	highestInForce []ident.Generation

	submissions []*submission
	// accepted holds the accepted configurations. acceptedCount is how many times the swap of each
	// submission ID has taken effect.
	accepted      map[ident.Generation]config.Accepted
	acceptedCount map[string]int
}

type fetch struct {
	daemon int
	*config.Fetch
}

type submission struct {
	*config.Submission
	id       string
	expected int64
	content  int
	abortErr error
}

func newCluster() *cluster {
	w := &cluster{
		now: time.Unix(1000, 0), sections: map[manifest.Hash][]byte{},
		highestInForce: make([]ident.Generation, daemons), accepted: map[ident.Generation]config.Accepted{},
		acceptedCount: map[string]int{},
	}
	for range daemons {
		w.followers = append(w.followers, config.NewFollower())
	}
	return w
}

func content(runners int) *manifest.Manifest {
	return &manifest.Manifest{
		Format:   manifest.Format,
		Models:   []manifest.Model{},
		Services: []manifest.Service{{Name: "casos", Kind: manifest.KindPlain, Runners: runners}},
		Workspaces: []manifest.Workspace{{
			Name: "owners", Weight: 1,
			KeyHashes: []string{"7f83b1657ff1fc53b92dc18148a1d65dfc2d4b1fa3d677284addd200126d9069"},
		}},
		Classes: []manifest.Class{{Name: "chat", TTFTMillis: 500, TBTMillis: 40}},
		Fleet: manifest.Fleet{
			FailureDomains: []ident.FailureDomain{"lima-norte"},
			VMClasses:      []manifest.VMClass{{Name: "small", PricePerHour: 1}},
		},
	}
}

// swap applies a compare-and-swap to the register and reports whether it succeeded.
func (w *cluster) swap(s *config.SwapHead) bool {
	if s.Expected != w.revision {
		return false
	}
	w.revision++
	w.head = s.Head
	w.accepted[s.Head.Generation] = s.Head.Accepted
	w.acceptedCount[s.Head.SubmissionID]++
	return true
}

func (w *cluster) submit(t *rapid.T) {
	if len(w.submissions) >= 6 {
		t.Skip("enough submissions")
	}
	expected := config.AnyGeneration
	if rapid.Bool().Draw(t, "expects") {
		expected = int64(w.head.Generation)
	}
	daemon := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
	floor, _ := w.followers[daemon].InForce()
	number := len(w.submissions) + 1
	id := string(rune('a' + number))
	s, err := config.NewSubmission(content(number), "operator", id, expected, floor.Generation)
	if err != nil {
		t.Fatal(err)
	}
	w.submissions = append(w.submissions, &submission{Submission: s, id: id, expected: expected, content: number})
}

func (s *submission) finished() bool {
	switch s.Step().(type) {
	case *config.Done, *config.Failed:
		return true
	}
	return s.abortErr != nil
}

// advance executes one step of one submission.
func (w *cluster) advance(t *rapid.T) {
	var open []*submission
	for _, s := range w.submissions {
		if !s.finished() {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		t.Skip("no submission is open")
	}
	s := rapid.SampledFrom(open).Draw(t, "submission")
	if w.storeDown {
		w.advanceInOutage(t, s)
		return
	}
	switch step := s.Step().(type) {
	case *config.ReadHead:
		s.HeadRead(w.now, w.head, w.revision)
	case *config.StoreSections:
		for _, section := range step.Sections {
			w.sections[section.Hash] = section.Data
		}
		s.SectionsStored()
	case *config.SwapHead:
		w.sendSwap(t, s, step)
	}
}

func (w *cluster) advanceInOutage(t *rapid.T, s *submission) {
	if rapid.Bool().Draw(t, "give up") {
		s.abortErr = s.AbortError(nil)
		return
	}
	if step, ok := s.Step().(*config.SwapHead); ok {
		w.delayedSwaps = append(w.delayedSwaps, step)
		s.SwapLost()
	}
}

func (w *cluster) sendSwap(t *rapid.T, s *submission, step *config.SwapHead) {
	switch rapid.SampledFrom([]string{"answered", "answer lost", "late"}).Draw(t, "swap") {
	case "answered":
		if w.swap(step) {
			s.Swapped()
			return
		}
		s.SwapConflict()
	case "answer lost":
		w.swap(step)
		s.SwapLost()
	case "late":
		w.delayedSwaps = append(w.delayedSwaps, step)
		s.SwapLost()
	}
}

func (w *cluster) applyDelayedSwap(t *rapid.T) {
	if len(w.delayedSwaps) == 0 {
		t.Skip("no delayed swap")
	}
	i := rapid.IntRange(0, len(w.delayedSwaps)-1).Draw(t, "late")
	w.swap(w.delayedSwaps[i])
	w.delayedSwaps = append(w.delayedSwaps[:i], w.delayedSwaps[i+1:]...)
}

func (w *cluster) queueFetches(daemon int, effects []config.Effect) {
	for _, effect := range effects {
		if f, ok := effect.(*config.Fetch); ok {
			w.fetches = append(w.fetches, fetch{daemon, f})
		}
	}
}

// announce sends one daemon the register's head or a peer's configuration in force.
func (w *cluster) announce(t *rapid.T) {
	daemon := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
	from := rapid.IntRange(-1, daemons-1).Draw(t, "from")
	if from < 0 {
		if w.storeDown || w.revision == 0 {
			t.Skip("no head to read")
		}
		w.queueFetches(daemon, w.followers[daemon].Learn(w.now, w.head.Accepted, config.StoreSource))
		return
	}
	inForce, _ := w.followers[from].InForce()
	w.queueFetches(daemon, w.followers[daemon].Learn(w.now, inForce, peerName(from)))
}

func peerName(i int) string { return string(rune('0' + i)) }

// answerFetch answers or drops one fetch, in any order.
func (w *cluster) answerFetch(t *rapid.T) {
	if len(w.fetches) == 0 {
		t.Skip("no fetch is pending")
	}
	i := rapid.IntRange(0, len(w.fetches)-1).Draw(t, "fetch")
	f := w.fetches[i]
	w.fetches = append(w.fetches[:i], w.fetches[i+1:]...)
	if rapid.Bool().Draw(t, "answered") {
		w.queueFetches(f.daemon, w.followers[f.daemon].Supply(w.now, w.fetchResult(f)))
	}
}

func (w *cluster) fetchResult(f fetch) map[manifest.Hash][]byte {
	if f.Source != config.StoreSource {
		return w.followers[int(f.Source[0]-'0')].Sections(f.Hashes)
	}
	if w.storeDown {
		return nil
	}
	return w.sections
}

func (w *cluster) tick(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	for i, f := range w.followers {
		w.queueFetches(i, f.Tick(w.now))
	}
}

func (w *cluster) restart(t *rapid.T) {
	daemon := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
	w.followers[daemon] = config.NewFollower()
	w.highestInForce[daemon] = 0
	kept := w.fetches[:0]
	for _, f := range w.fetches {
		if f.daemon != daemon {
			kept = append(kept, f)
		}
	}
	w.fetches = kept
}
