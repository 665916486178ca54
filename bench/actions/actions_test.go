package actions

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The measured policy must meet the targets for at-most-once actions (issue 5). A
// short token lifetime makes the collection of entries reach its steady state early.
func TestPolicyMeetsTargets(t *testing.T) {
	is := is.New(t)
	sums := map[string]*mean{}
	policy := arm{name: "policy", lifetime: 20 * time.Second}
	steady(policy, 1, 2000, "", sums)
	crash(policy, 1, 100, "", sums)
	outage(policy, 1, sums)
	f := means(sums)
	is.True(f["kv_calls_per_action"] < 0.1)
	is.True(f["added_latency_p99_seconds"] < 0.1)
	is.Equal(f["served_in_outage_ratio"], 1.0)
	is.Equal(f["run_twice"], 0.0)
	is.Equal(f["false_not_executed"], 0.0)
}
