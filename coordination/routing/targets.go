package routing

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/reclaim"
)

// defaultFreeTokens stands in for the free KV cache of a runner that has not reported.
const defaultFreeTokens = 1 << 14

// Targets lists the live runners as targets for streams that have to leave
// theirs, with the room that reports and own changes since leave. Ejected ones
// are left out: a move to one that fails would only be followed by another.
func (t *Table) Targets() []reclaim.Target {
	var targets []reclaim.Target
	for i := range t.live.Less(t.ejected).All() {
		s, c := &t.slots[i], &t.scores[i]
		places := s.report.MaxRunning
		if places == 0 {
			places = t.cfg.Batch
		}
		present := max(c.inFlight, s.report.Running+s.report.Waiting+s.sinceRequests)
		free := defaultFreeTokens
		if s.reported && s.report.KVBlocksTotal > 0 {
			free = max(int(c.freeTokens), 0)
		}
		targets = append(targets, reclaim.Target{
			Runner:       s.runner.ID,
			Slots:        max(places-present, 0),
			FreeTokens:   free,
			PrefillRate:  s.prefillRate,
			QueuedTokens: max(int(c.queuedTokens), 0),
			Risk:         s.hazard * time.Hour.Seconds(),
		})
	}
	return targets
}
