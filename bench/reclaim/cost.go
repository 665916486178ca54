package reclaim

import (
	"context"
	"fmt"

	"geraniumstack.org/geraniumstack/bench"
)

const (
	// costSeeds limits the number of seeds for each request rate.
	costSeeds = 8
	// Request rates to search, in requests per second.
	lowestRate, highestRate, rateStep = 4, 60, 2
)

// costAtTarget finds, by bisection, the highest request rate at which an arm still
// meets the latency targets while one failure domain is reclaimed, and the cost of a
// million tokens at that rate. If no rate meets the targets, it adds no figures.
func costAtTarget(ctx context.Context, o bench.Options, a arm, into map[string]float64) error {
	o.Seeds = o.Seeds[:min(costSeeds, len(o.Seeds))]
	o.Rounds = 1
	low, high := lowestRate/rateStep-1, highestRate/rateStep+1
	var best *stats
	for high-low > 1 {
		middle := (low + high) / 2
		st, err := runScenario(ctx, o, a, scenarios[0], float64(middle*rateStep))
		if err != nil {
			return err
		}
		met := st.meetsTarget()
		fmt.Fprintf(o.Progress, "reclaim: %s at %d requests a second: target met: %v\n", a.name, middle*rateStep, met)
		if !met {
			high = middle
			continue
		}
		low, best = middle, st
	}
	if best != nil {
		into["requests_per_second_at_target"] = float64(low * rateStep)
		into["cost_per_million_tokens"] = best.cost / best.tokens * 1e6
	}
	return nil
}

func (s *stats) meetsTarget() bool {
	if s.lost > 0 || s.refused > 0 {
		return false
	}
	for _, c := range classes {
		if p95(s.first[c.urgent]) > c.first.Seconds() || p95(s.gaps[c.urgent]) > c.between.Seconds() {
			return false
		}
	}
	return true
}
