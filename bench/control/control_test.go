package control_test

import (
	"io"
	"os"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/bench"
	"geraniumstack.org/geraniumstack/bench/control"
)

func TestControlReportsEverySize(t *testing.T) {
	is := is.New(t)
	report, err := control.Experiment{Exchanges: 20}.Run(t.Context(), bench.Options{Progress: io.Discard})
	is.NoErr(err)
	is.Equal(len(report.Arms), 3)
	for _, arm := range report.Arms {
		is.True(arm.Figures["bytes_per_exchange"] > 0)
	}
}

// BenchmarkControl prints the whole report: go test ./bench/control -run '^$'
// -bench Control -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	for b.Loop() {
		report, err := control.Experiment{}.Run(b.Context(), bench.Options{Progress: io.Discard})
		if err != nil {
			b.Fatal(err)
		}
		if err := report.WriteTable(os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}
