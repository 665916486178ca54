package spread

import (
	"io"
	"os"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/bench"
)

func TestPolicyMeetsTheTargetAtSmallSizes(t *testing.T) {
	is := is.New(t)
	experiment := Experiment{Sizes: []int{8, 120}}
	options := bench.Options{Seeds: []uint64{1, 2}, Progress: io.Discard}
	report, err := experiment.Run(t.Context(), options)
	is.NoErr(err)
	is.Equal(len(report.Arms), 4)
	policy := report.Arms[0]
	is.Equal(policy.Name, "policy")
	is.True(policy.Figures["seconds_to_last"] < 12)
	is.True(policy.Figures["seconds_to_last_faults"] < 12)
	is.True(policy.Figures["bytes_per_second_per_member"] < 8000)
	again, err := experiment.Run(t.Context(), options)
	is.NoErr(err)
	is.Equal(again, report) // the same seeds give the same figures
}

// BenchmarkSpread prints the whole report: go test ./bench/spread -run '^$'
// -bench Spread -benchtime 1x.
func BenchmarkSpread(b *testing.B) {
	for b.Loop() {
		report, err := Experiment{}.Run(b.Context(), bench.Options{Seeds: []uint64{1, 2, 3}, Progress: io.Discard})
		if err != nil {
			b.Fatal(err)
		}
		if err := report.WriteTable(os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}
