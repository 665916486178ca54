package orders

import (
	"testing"

	"github.com/matryer/is"
)

// A holder is paused between its decision and its order while another takes
// over. With the whole guard no runner carries out the late order after the new
// holder's; each part left out must show, or the measurement proves nothing.
func TestAims(t *testing.T) {
	is := is.New(t)
	stale := map[string]float64{}
	for _, a := range arms() {
		sum, err := play(t.Context(), a, []uint64{1, 2}, 200)
		is.NoErr(err)
		f := sum.figures()
		stale[a.name] = f["stale_orders_accepted"]
		is.True(f["takeovers"] > 0)
		is.True(f["kv_calls_per_second_per_responsibility"] < 2)
	}
	is.Equal(stale[armPolicy], 0.0)
	is.True(stale[armNoQuarantine] > 0)
	is.True(stale[armNoMargin] > 0)
}
