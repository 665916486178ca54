package reclaim

import (
	"flag"
	"io"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/bench"
)

var waves = flag.Int("waves", 1, "seeded waves of each scenario in TestNoLongRequestIsLost")

func seeds(n int) bench.Options {
	o := bench.Options{Progress: io.Discard}
	for i := range n {
		o.Seeds = append(o.Seeds, uint64(i+1))
	}
	return o
}

func run(t *testing.T, o bench.Options, a arm, s scenario) map[string]float64 {
	t.Helper()
	st, err := runScenario(t.Context(), o, a, s, requestsPerSecond)
	if err != nil {
		t.Fatal(err)
	}
	figures := map[string]float64{}
	st.figures(figures, scenarios[0].name)
	return figures
}

func TestRunsAreDeterministic(t *testing.T) {
	is := is.New(t)
	is.Equal(run(t, seeds(1), arms[0], scenarios[0]), run(t, seeds(1), arms[0], scenarios[0]))
}

// Accepted reviews and bulletins must survive a wave that takes a failure domain, half
// the runners, or a second domain while streams of the first one are still moving.
// With -waves 1000 the test takes about half an hour.
func TestNoLongRequestIsLost(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := run(t, seeds(*waves), arms[0], s)
			t.Logf("%d waves: lost %v, refused %v, recomputed tokens %v", *waves, f["lost_accepted"], f["refused_urgent"], f["recomputed_tokens"])
			if f["lost_accepted"] != 0 {
				t.Errorf("%v long requests lost", f["lost_accepted"])
			}
		})
	}
}

func TestPolicyRecomputesLess(t *testing.T) {
	is := is.New(t)
	policy := run(t, seeds(1), arms[0], scenarios[0])["recomputed_tokens"]
	is.True(5*policy <= run(t, seeds(1), arms[1], scenarios[0])["recomputed_tokens"])
	is.True(2*policy <= run(t, seeds(1), arms[2], scenarios[0])["recomputed_tokens"])
}
