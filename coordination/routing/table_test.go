package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Guards against a table that is filled with runners that leave, so that the few that stay get no
// requests, when most runners of a large fleet leave at once.
func TestLeavingRunnersDontFillTheTable(t *testing.T) {
	is := is.New(t)
	const staying = 100
	var runners []view.Runner
	for i := range 3000 {
		state := view.Leaving
		if i%30 == 0 {
			state = view.Live
		}
		runners = append(runners, view.Runner{ID: ident.RunnerID(fmt.Sprintf("r%04d", i)), FailureDomain: "north", State: state})
	}
	table := routing.New(routing.Default("d1", "north"))
	table.SetRunners(time.Now(), runners)
	is.Equal(len(table.OwnLoads(nil)), staying)
}
