package overload

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
)

var shortSpan = span{load: 15 * time.Second, warmUp: 5 * time.Second, drain: 5 * time.Second}

func TestEqualSeedsGiveEqualFigures(t *testing.T) {
	is := is.New(t)
	first := runArm(arms()[0], 1, 1, shortSpan)
	is.True(maps.Equal(first, runArm(arms()[0], 1, 1, shortSpan)))
}

// Operators asking for their satellite get no answer for as long as a large
// team floods the fleet with reviews. All requests went to the engines as they
// came, and everything waited behind everything.
func TestUrgentWorkStaysUnderOverload(t *testing.T) {
	is := is.New(t)
	// Shares are kept over tens of seconds: answers in progress aren't cut.
	policy := runArm(arms()[0], 1, 5, span{load: 45 * time.Second, warmUp: 15 * time.Second, drain: 5 * time.Second})
	fifo := runArm(arms()[1], 1, 5, shortSpan)
	is.True(policy["urgent_goodput_ratio"] > 0.9)
	is.True(policy["fairness_index"] > 0.9)
	is.True(fifo["urgent_goodput_ratio"] < 0.1)
}

func TestMaxMin(t *testing.T) {
	is := is.New(t)
	list := tenants() // weights 4, 1, 1, 1, 1
	is.Equal(maxMin(list, []float64{100, 5, 100, 100, 100}, 75), []float64{40, 5, 10, 10, 10})
}
