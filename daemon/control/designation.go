package control

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// designatedPerDomain is how many daemons of each failure domain watch the
	// key-value service and ask the platform; the others learn from peers.
	// Guards against the fleet outgrowing those services: with a watch in
	// every one of 1,800 daemons nearly all of the 2,000 reads a second that
	// the service gives would be gone.
	designatedPerDomain = 2
	// rotationPeriod is how long one daemon reads the VM list before the next.
	rotationPeriod = time.Minute
	// fixedSlot is the duty that does not go round.
	fixedSlot = 0
)

// isDesignated tells whether this daemon ranks among the first of the live daemons of
// its failure domain in a slot. Daemons that see different members may both, or
// for a while neither, think so; each of the services is re-read slowly besides.
func (c *Control) isDesignated(slot int64) bool {
	ownRank := designationRank(c.cfg.Self, slot)
	ahead := 0
	for _, m := range c.Members() {
		if m.FailureDomain != c.cfg.Self.FailureDomain || m.State != view.Live {
			continue
		}
		if m.Incarnation != c.cfg.Self.Incarnation && designationRank(m.Daemon, slot) < ownRank {
			ahead++
		}
	}
	return ahead < designatedPerDomain
}

func designationRank(d view.Daemon, slot int64) uint64 {
	return xxhash.Sum64String(string(d.Incarnation) + "\x00" + strconv.FormatInt(slot, 10))
}

// rotationSlot numbers the turns of a duty that goes round. Clocks need to agree
// only roughly: at a turn's edge one daemon more or fewer has it.
func rotationSlot(now time.Time) int64 { return now.Unix()/int64(rotationPeriod.Seconds()) + 1 }

// jitter draws the same spans for the same incarnation.
type jitter struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newJitter(i ident.Incarnation) *jitter {
	return &jitter{random: rand.New(rand.NewPCG(xxhash.Sum64String(string(i)), 0))}
}

// below draws a span shorter than d.
func (j *jitter) below(d time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Duration(j.random.Int64N(int64(d)))
}

// jittered spreads calls of many daemons: between d and one and a half of it.
func (c *Control) jittered(d time.Duration) time.Duration { return d + c.jitter.below(d/2+1) }

// scaledInterval lengthens an interval with the number of daemons, so that the calls a
// second of all together stay bounded.
func scaledInterval(minimum, perMember time.Duration, members []membership.Member) time.Duration {
	return max(minimum, time.Duration(len(members))*perMember)
}
