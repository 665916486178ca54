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

// Urgent requests must be answered while one large workspace floods the fleet with
// reviews. When all requests go to the engines in the order of their arrival, urgent
// ones wait behind the reviews.
func TestUrgentWorkStaysUnderOverload(t *testing.T) {
	is := is.New(t)
	// Fair shares hold only over tens of seconds, because answers in progress are not
	// interrupted.
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
