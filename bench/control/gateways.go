package control

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/membership"
)

// gateways returns the microseconds of one answer.
func (r *rig) gateways() float64 {
	begin := time.Now()
	for i := range ticks {
		membership.Gateways(r.daemon.Daemons(), "domain-1", uint64(i))
	}
	return float64(time.Since(begin).Microseconds()) / ticks
}
