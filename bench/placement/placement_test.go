package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Long reviews are cut off and computed anew several times a day, nearly all of
// them in the failure domain whose VMs are reclaimed every hour.
func TestLongWorkIsInterruptedLess(t *testing.T) {
	is := is.New(t)
	// The hazards have to be learned first.
	short := span{whole: 150 * time.Minute, warmUp: 75 * time.Minute}
	with, without := measure(arms[0], 1, short), measure(arms[2], 1, short)
	is.True(with["interrupted_long_requests"]*1.5 < without["interrupted_long_requests"])
	is.True(with["cost_per_long_request"] <= without["cost_per_long_request"])
}
