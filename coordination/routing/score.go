package routing

import (
	"math"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// defaultMeanOutput is the initial value of Table.meanOutput, the moving average of the output
// lengths in tokens. meanOutputWeight is the weight of each new answer in this average.
const (
	defaultMeanOutput = 200
	meanOutputWeight  = 0.02
)

// changeLogSize bounds the number of load changes per runner that the table keeps. A runner's
// report describes its load at the time AsOf; the table adds to it the kept changes after AsOf.
// Changes that are no longer kept are assumed to be contained in the report.
const changeLogSize = 128

// loadChange is the change in a runner's load when this gateway dispatches a request to it, gets
// the first token from it, or sees a request end there. prefillTokens is the change in the number of
// prompt tokens still to compute, kvTokens the change in the number of tokens in the KV cache, and
// requests the change in the number of requests in progress.
type loadChange struct {
	at            time.Time
	prefillTokens float64
	kvTokens      float64
	requests      int
}

// changeLog is a ring buffer of a runner's latest load changes. nextEntry is the index that the
// next change overwrites.
type changeLog struct {
	entries   [changeLogSize]loadChange
	nextEntry int
}

// score holds the values of a slot that a choice reads. It is separate from slot and
// small because every choice reads the scores of all candidates.
type score struct {
	// remotePenalty is the number of seconds added to the expected time to first token because
	// the runner is in another failure domain; zero if it is not.
	remotePenalty float64
	// prefillSecondsPerToken is the prefill time per prompt token in seconds.
	// secondsPerFreedToken is the mean time in seconds until the running requests free KV cache
	// for one more token. Table.estimate multiplies it by the number of tokens of a request that
	// don't fit in freeTokens.
	prefillSecondsPerToken float64
	secondsPerFreedToken   float64
	// queuedTokens is the number of prompt tokens queued at the runner, freeTokens its free KV
	// cache in tokens. Both include this gateway's load changes since the last report.
	queuedTokens float64
	freeTokens   float64
	// batchWait is the time in seconds until a slot in the batch is free.
	batchWait float64
	// inFlight is the number of this gateway's requests in progress at the runner.
	inFlight int
	// hazard is the probability that the runner's VM is reclaimed while the runner
	// computes one output token. priceRisk is the runner's price, converted to the reclaim
	// probability that weighs as much: Config.PriceWeight for the highest price in the table.
	hazard    float64
	priceRisk float64
	// pauseRisk is the probability that a stream at the runner pauses for too long.
	pauseRisk float64
	// failureCost is the cost in seconds of slot.failureChance.
	failureCost float64
}

// SetPauseRisks sets each runner's probability that a stream there pauses for too long; see
// Request.PauseWeight. It is zero for runners that are added later.
func (t *Table) SetPauseRisks(risk func(ident.RunnerID) float64) {
	for i := range t.used.All() {
		t.scores[i].pauseRisk = risk(t.slots[i].runner.ID)
	}
}

// SetFailureChance sets the chance that a runner doesn't serve a request, from 0 to 1. It is zero for runners that are added
// later.
func (t *Table) SetFailureChance(id ident.RunnerID, chance float64) {
	i, ok := t.byID[id]
	if !ok {
		return
	}
	t.slots[i].failureChance = chance
	t.scores[i].failureCost = chance * t.cfg.FailureCost.Seconds()
	if chance > 0 {
		t.failing = t.failing.With(i)
	} else {
		t.failing = t.failing.Without(i)
	}
}

// sumChangesSinceReport recomputes the sums of this gateway's load changes after the AsOf time of
// the last report of slot i.
func (t *Table) sumChangesSinceReport(i int) {
	s := &t.slots[i]
	s.prefillSinceReport, s.kvSinceReport, s.requestsSinceReport = 0, 0, 0
	log := &t.logs[i].entries
	for j := range log {
		if log[j].at.After(s.report.AsOf) {
			s.prefillSinceReport += log[j].prefillTokens
			s.kvSinceReport += log[j].kvTokens
			s.requestsSinceReport += log[j].requests
		}
	}
}

// recordChange adds a load change to the load of slot i. It also stores the change, because the
// next report may have been made before it.
func (t *Table) recordChange(i int, c loadChange) {
	log := &t.logs[i]
	log.entries[log.nextEntry] = c
	log.nextEntry = (log.nextEntry + 1) % changeLogSize
	s := &t.slots[i]
	s.prefillSinceReport += c.prefillTokens
	s.kvSinceReport += c.kvTokens
	s.requestsSinceReport += c.requests
	s.pendingPrefill += c.prefillTokens
	s.pendingKV += c.kvTokens
	t.scores[i].inFlight += c.requests
	t.rescore(i)
}

// rescore computes the score of slot i from the last report and the load changes since.
func (t *Table) rescore(i int) {
	s, c := &t.slots[i], &t.scores[i]
	c.prefillSecondsPerToken = 1 / s.prefillRate
	c.secondsPerFreedToken = 1 / (s.decodeRate * float64(max(1, s.report.Running)))
	c.queuedTokens = max(s.pendingPrefill, float64(s.report.QueuedTokens)+s.prefillSinceReport)
	c.freeTokens = math.Inf(1)
	if s.reported && s.report.KVBlocksTotal > 0 {
		c.freeTokens = s.freeTokens - s.kvSinceReport
	}
	c.batchWait = t.waitForBatch(s, c.inFlight)
	c.hazard = s.hazard / s.decodeRate
	c.priceRisk = 0
	if t.maxPrice > 0 {
		c.priceRisk = t.cfg.PriceWeight * s.runner.PricePerHour / t.maxPrice
	}
}

// requestsInProgress returns the number of requests running or waiting at the runner: the last
// report plus this gateway's load changes since. It returns at least own, the number of this
// gateway's requests in progress there, because the report may lag behind.
func (s *slot) requestsInProgress(own int) int {
	return max(own, s.report.Running+s.report.Waiting+s.requestsSinceReport)
}

// waitForBatch returns the time in seconds until a request that arrives now gets a slot
// in the batch: the number of requests that must finish before, divided by the rate at which the
// requests of a full batch finish. own is the number of this gateway's requests in progress at
// the runner. The wait can't be derived from the number of queued prompt tokens, because many
// short prompts can be queued.
func (t *Table) waitForBatch(s *slot, own int) float64 {
	ahead := s.requestsInProgress(own) - s.batchSize + 1
	if ahead <= 0 {
		return 0
	}
	perSecond := float64(s.batchSize) * s.decodeRate / t.meanOutput
	return float64(ahead) / perSecond
}

// Capacity is the total capacity of the live runners that are not ejected, by their reports.
type Capacity struct {
	Runners int
	// BatchSlots is the total number of requests that can run at a time. DecodeRate is the
	// total number of output tokens per second.
	BatchSlots int
	DecodeRate float64
	// FreeSlots is the number of free batch slots by the last reports and this gateway's load
	// changes since.
	FreeSlots int
	// PromptCost is the number of output tokens that all runners together could generate in the
	// time in which they compute one uncached prompt token.
	PromptCost float64
}

// A gateway may use its equal share of all batch slots or, if that is more, the slots that it uses
// now plus claimableFreeFraction of the free ones. It may not claim all free slots, because every
// gateway would then claim the same ones. reservedFraction of all slots does not count as free:
// gateways leave those slots to urgent requests under overload.
const (
	claimableFreeFraction = 0.5
	reservedFraction      = 0.25
)

// Share returns the batch slots and the output tokens per second that one of the given
// number of gateways may use. running is the number of batch slots that the gateway uses now.
// The result is the equal share of all slots or, if that is more, running plus
// claimableFreeFraction of the free slots. Callers are not spread evenly over the gateways, and a
// gateway with many callers must not refuse requests while runners are idle.
func (c Capacity) Share(gateways, running int) (slots, tokensPerSecond float64) {
	if c.BatchSlots == 0 {
		return 0, 0
	}
	equal := float64(c.BatchSlots) / float64(max(1, gateways))
	free := max(0, float64(c.FreeSlots)-reservedFraction*float64(c.BatchSlots))
	slots = equal
	if free > 0 {
		slots = max(equal, float64(running)+claimableFreeFraction*free)
	}
	return slots, c.DecodeRate * slots / float64(c.BatchSlots)
}

// Capacity returns the total capacity of the runners that are live and not ejected.
func (t *Table) Capacity() Capacity {
	var c Capacity
	prefillRate := 0.0
	for i := range t.live.Minus(t.ejected).All() {
		s := &t.slots[i]
		c.Runners++
		c.BatchSlots += s.batchSize
		c.FreeSlots += max(0, s.batchSize-s.report.Running-s.report.Waiting-s.requestsSinceReport)
		c.DecodeRate += float64(s.batchSize) * s.decodeRate
		prefillRate += s.prefillRate
	}
	if prefillRate > 0 {
		c.PromptCost = c.DecodeRate / prefillRate
	}
	return c
}
