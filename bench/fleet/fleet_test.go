package fleet

import (
	"io"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/bench"
)

func run(t *testing.T, arms []string) map[string]map[string]float64 {
	t.Helper()
	report, err := Experiment{}.Run(t.Context(), bench.Options{Seeds: []uint64{1}, Arms: arms, Progress: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]map[string]float64{}
	for _, a := range report.Arms {
		out[a.Name] = a.Figures
	}
	return out
}

func TestEqualSeedsGiveEqualFigures(t *testing.T) {
	is := is.New(t)
	arms := []string{armPolicy, armCheapest}
	is.Equal(run(t, arms), run(t, arms))
}

// The planner's reason to be: the target holds as with on-demand VMs alone, at
// less than half of their price, while cheapest-first falls to no runner at all.
func TestPolicyHoldsTargetAtLessCost(t *testing.T) {
	is := is.New(t)
	arms := run(t, nil)
	is.True(arms[armPolicy]["target_met_ratio"] > 0.999)
	is.True(arms[armPolicy]["cost_ratio_to_on_demand"] < 0.5)
	is.True(arms[armPolicy]["voluntary_stops_per_day"] < 110)
	is.Equal(arms[armCheapest]["fewest_runners_mean"], 0.0)
}
