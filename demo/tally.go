package demo

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Summary holds the counts and latencies of a run.
type Summary struct {
	Fleet           string                                   `json:"fleet"`
	Seconds         float64                                  `json:"seconds"`
	Sent            int                                      `json:"sent"`
	Accepted        int                                      `json:"accepted"`
	AnsweredWhole   int                                      `json:"answered_whole"`
	Refused         map[refusal.Reason]int                   `json:"refused"`
	LostAccepted    int                                      `json:"lost_accepted"`
	AnswersMixed    int                                      `json:"answers_mixed"`
	Actions         int                                      `json:"actions"`
	ActionsRunTwice int                                      `json:"actions_run_twice"`
	FalseNotRun     int                                      `json:"false_not_executed"`
	UnknownOutcomes int                                      `json:"unknown_outcomes"`
	Retaken         int                                      `json:"actions_asked_again"`
	Resumed         int                                      `json:"resumed_by_callers"`
	Recomputed      int                                      `json:"recomputed_tokens"`
	Computed        int                                      `json:"computed_tokens"`
	TTFTP50         float64                                  `json:"ttft_p50_seconds"`
	TTFTP95         float64                                  `json:"ttft_p95_seconds"`
	GapP95          float64                                  `json:"longest_gap_p95_seconds"`
	RaceWinners     int                                      `json:"race_winners,omitempty"`
	Generations     map[ident.FailureDomain]ident.Generation `json:"generations"`
	Errors          map[string]int                           `json:"errors,omitempty"`
	PromisesKept    bool                                     `json:"promises_kept"`
}

const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// tally aggregates what callers observed. It is safe for concurrent use.
type tally struct {
	mu   sync.Mutex
	s    Summary
	ttft *hdrhistogram.Histogram
	gap  *hdrhistogram.Histogram
	// reportedNotExecuted holds the keys of actions whose caller was told that nothing
	// ran.
	reportedNotExecuted map[string]bool
}

func newTally() *tally {
	return &tally{
		s:                   Summary{Refused: map[refusal.Reason]int{}, Errors: map[string]int{}},
		ttft:                hdrhistogram.New(1, histogramMax, histogramDigits),
		gap:                 hdrhistogram.New(1, histogramMax, histogramDigits),
		reportedNotExecuted: map[string]bool{},
	}
}

func (t *tally) update(f func(*Summary)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.s)
}

func (t *tally) recordLatency(first, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Values above the histogram's limit are recorded as the limit.
	_ = t.ttft.RecordValue(min(first.Microseconds(), histogramMax))
	_ = t.gap.RecordValue(min(gap.Microseconds(), histogramMax))
}

func (t *tally) addNotExecuted(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportedNotExecuted[key] = true
}

func seconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1e6
}

func (t *tally) summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.s
	s.TTFTP50 = seconds(t.ttft, 50)
	s.TTFTP95 = seconds(t.ttft, 95)
	s.GapP95 = seconds(t.gap, 95)
	s.PromisesKept = s.LostAccepted == 0 && s.AnswersMixed == 0 && s.ActionsRunTwice == 0 &&
		s.FalseNotRun == 0 && s.RaceWinners <= 1 && len(s.Errors) == 0 && sameGeneration(s.Generations)
	return s
}

func sameGeneration(byDomain map[ident.FailureDomain]ident.Generation) bool {
	var first ident.Generation
	for _, g := range byDomain {
		if first == 0 {
			first = g
		}
		if g == 0 || g != first {
			return false
		}
	}
	return true
}

// Write prints the summary as a table.
func (s Summary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	row := func(name string, v any) { fmt.Fprintf(t, "%s\t%v\n", name, v) }
	row("accepted", s.Accepted)
	row("answered whole", s.AnsweredWhole)
	for _, reason := range sortedKeys(s.Refused) {
		row("refused: "+string(reason), s.Refused[reason])
	}
	row("lost after acceptance (must be 0)", s.LostAccepted)
	row("answers mixed (must be 0)", s.AnswersMixed)
	row("actions", s.Actions)
	row("actions run twice (must be 0)", s.ActionsRunTwice)
	row("told \"not run\" but run (must be 0)", s.FalseNotRun)
	row("actions asked for again under a new key", s.Retaken)
	row("actions with unknown outcome", s.UnknownOutcomes)
	row("connections resumed by callers", s.Resumed)
	row("tokens computed", s.Computed)
	row("tokens recomputed", s.Recomputed)
	row("time to first token p50", fmt.Sprintf("%.3f s", s.TTFTP50))
	row("time to first token p95", fmt.Sprintf("%.3f s", s.TTFTP95))
	row("longest gap in an answer p95", fmt.Sprintf("%.3f s", s.GapP95))
	for _, d := range sortedKeys(s.Generations) {
		row("generation in force in "+string(d), s.Generations[d])
	}
	for _, e := range sortedKeys(s.Errors) {
		row("error: "+e, s.Errors[e])
	}
	row("promises kept", s.PromisesKept)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
