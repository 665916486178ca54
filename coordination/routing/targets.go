package routing

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/reclaim"
)

// defaultFreeTokens is the free KV cache, in tokens, assumed for a runner that has not
// reported.
const defaultFreeTokens = 1 << 14

// Targets returns the live runners to which streams can move from a runner that is being
// reclaimed. Their free capacity is that of the last reports less this gateway's requests since.
// Ejected runners are left out: a stream that moved to a failing runner would have to
// move again.
func (t *Table) Targets() []reclaim.Target {
	var targets []reclaim.Target
	for i := range t.live.Minus(t.ejected).All() {
		s, c := &t.slots[i], &t.scores[i]
		batchSize := s.report.MaxRunning
		if batchSize == 0 {
			batchSize = t.cfg.InitialBatchSize
		}
		inProgress := max(c.inFlight, s.report.Running+s.report.Waiting+s.requestsSinceReport)
		freeTokens := defaultFreeTokens
		if s.reported && s.report.KVBlocksTotal > 0 {
			freeTokens = max(int(c.freeTokens), 0)
		}
		targets = append(targets, reclaim.Target{
			Runner:       s.runner.ID,
			Slots:        max(batchSize-inProgress, 0),
			FreeTokens:   freeTokens,
			PrefillRate:  s.prefillRate,
			QueuedTokens: max(int(c.queuedTokens), 0),
			Risk:         s.hazard * time.Hour.Seconds(),
		})
	}
	return targets
}
