package routing

import (
	"math"
	"time"
)

// defaultMeanOutput is the mean output taken for granted at first, meanOutputWeight the
// weight of each answer's length after that.
const (
	defaultMeanOutput = 200
	meanOutputWeight  = 0.02
)

// changeLogSize bounds the own dispatches and completions that are remembered for
// the correction of a report; older ones are taken as reported.
const changeLogSize = 128

// change is what one own dispatch or completion did to a runner.
type change struct {
	at       time.Time
	prefill  float64
	kv       float64
	requests int
}

// changeLog is a ring of the last own changes.
type changeLog struct {
	entries [changeLogSize]change
	next    int
}

// score is what a choice reads of a slot; it is kept apart and small because
// every choice reads all candidates' scores.
type score struct {
	// remotePenalty is the way there in seconds.
	remotePenalty float64
	// perToken is seconds of prefill per token, perOutput seconds until the
	// batch frees room for one token in the KV cache.
	perToken  float64
	perOutput float64
	// queuedTokens is the prompt tokens queued, free the room in the KV cache in
	// tokens, own changes since the report included.
	queuedTokens float64
	freeTokens   float64
	// batchWait is the seconds until a batchWait in the batch is free.
	batchWait float64
	inFlight  int
	// hazard is the probability of a reclaim per output token, price the
	// price's part of the risk.
	hazard float64
	price  float64
}

func (t *Table) sumChangesSinceReport(i int) {
	s := &t.slots[i]
	s.sincePrefill, s.sinceKV, s.sinceRequests = 0, 0, 0
	log := &t.logs[i].entries
	for j := range log {
		if log[j].at.After(s.report.AsOf) {
			s.sincePrefill += log[j].prefill
			s.sinceKV += log[j].kv
			s.sinceRequests += log[j].requests
		}
	}
}

func (t *Table) recordChange(i int, c change) {
	log := &t.logs[i]
	log.entries[log.next] = c
	log.next = (log.next + 1) % changeLogSize
	s := &t.slots[i]
	s.sincePrefill += c.prefill
	s.sinceKV += c.kv
	s.sinceRequests += c.requests
	s.pendingPrefill += c.prefill
	s.pendingKV += c.kv
	t.scores[i].inFlight += c.requests
	t.rescore(i)
}

// rescore derives what choices read from the last report and own changes.
func (t *Table) rescore(i int) {
	s, c := &t.slots[i], &t.scores[i]
	c.perToken = 1 / s.prefillRate
	c.perOutput = 1 / (s.decodeRate * float64(max(1, s.report.Running)))
	c.queuedTokens = max(s.pendingPrefill, float64(s.report.QueuedTokens)+s.sincePrefill)
	c.freeTokens = math.Inf(1)
	if s.reported && s.report.KVBlocksTotal > 0 {
		c.freeTokens = s.freeTokens - s.sinceKV
	}
	c.batchWait = t.waitForBatch(s, c.inFlight)
	c.hazard = s.hazard / s.decodeRate
	c.price = 0
	if t.maxPrice > 0 {
		c.price = t.cfg.PriceWeight * s.runner.PricePerHour / t.maxPrice
	}
}

// requestsInProgress is the requests in progress at the runner, of which own are this
// gateway's.
func (s *slot) requestsInProgress(own int) int {
	return max(own, s.report.Running+s.report.Waiting+s.sinceRequests)
}

// waitForBatch is the seconds until a request that comes now has a place in the
// batch. Prompts may be short and their tokens few, so that the queue of tokens
// says nothing of it. Places fall free as the batch's answers end.
func (t *Table) waitForBatch(s *slot, own int) float64 {
	ahead := s.requestsInProgress(own) - s.batchSize + 1
	if ahead <= 0 {
		return 0
	}
	perSecond := float64(s.batchSize) * s.decodeRate / t.meanOutput
	return float64(ahead) / perSecond
}

// Capacity is what the runners in use carry by their reports.
type Capacity struct {
	Runners int
	// Batch is the requests that run at a time, DecodeRate the output tokens
	// per second, both in all.
	Batch      int
	DecodeRate float64
	// Free is the places that the reports and own changes since leave.
	Free int
	// PromptCost is how many output tokens one uncached prompt token costs.
	PromptCost float64
}

// A gateway may take borrowedShare of the free places beyond its equal share:
// were it all of them, every gateway would take the same ones. The reservedFraction
// part of all places is not counted as free: under overload it is what gateways
// leave for urgent work.
const (
	borrowedShare    = 0.5
	reservedFraction = 0.25
)

// Share returns the places and the output tokens per second that one of so many
// gateways may use: its equal part, or what it uses and a part of what is free.
// Callers are not spread evenly, and the gateway that has them must not refuse
// while the runners are idle.
func (c Capacity) Share(gateways, running int) (places, perSecond float64) {
	if c.Batch == 0 {
		return 0, 0
	}
	equal := float64(c.Batch) / float64(max(1, gateways))
	free := max(0, float64(c.Free)-reservedFraction*float64(c.Batch))
	places = equal
	if free > 0 {
		places = max(equal, float64(running)+borrowedShare*free)
	}
	return places, c.DecodeRate * places / float64(c.Batch)
}

// Capacity sums up the runners that are live and not ejected.
func (t *Table) Capacity() Capacity {
	var c Capacity
	prefill := 0.0
	for i := range t.live.Less(t.ejected).All() {
		s := &t.slots[i]
		c.Runners++
		c.Batch += s.batchSize
		c.Free += max(0, s.batchSize-s.report.Running-s.report.Waiting-s.sinceRequests)
		c.DecodeRate += float64(s.batchSize) * s.decodeRate
		prefill += s.prefillRate
	}
	if prefill > 0 {
		c.PromptCost = c.DecodeRate / prefill
	}
	return c
}
