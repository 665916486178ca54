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
	// designatedPerDomain is the number of daemons in each failure domain that
	// watch the key-value service and poll the platform; the other daemons
	// learn from peers. If each of 1,800 daemons watched the service, they
	// would use up nearly all of the 2,000 reads a second that it can serve.
	designatedPerDomain = 2
	// rotationPeriod is how long the same daemons stay designated to read the
	// VM list before the task moves on to others.
	rotationPeriod = time.Minute
	// fixedSlot is the slot for tasks whose designated daemons do not rotate.
	fixedSlot = 0
)

// isDesignated reports whether this daemon is designated in a slot, that is,
// among the first designatedPerDomain live daemons of its failure domain by
// rank. Daemons with different membership views may disagree, so that for a
// while too many or none of them are designated. Every daemon therefore also
// reads the head at a longer interval, and the daemons that read the VM list
// rotate.
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

// designationRank returns a pseudo-random rank that differs between daemons and
// slots. Lower ranks are designated first.
func designationRank(d view.Daemon, slot int64) uint64 {
	return xxhash.Sum64String(string(d.Incarnation) + "\x00" + strconv.FormatInt(slot, 10))
}

// rotationSlot returns the slot of the rotation period that contains now. The
// daemons' clocks need to agree only roughly: near the boundary of a period,
// one daemon too many or too few may be designated.
func rotationSlot(now time.Time) int64 { return now.Unix()/int64(rotationPeriod.Seconds()) + 1 }

// jitter is a source of random durations that is seeded by the incarnation and
// therefore reproducible.
type jitter struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newJitter(i ident.Incarnation) *jitter {
	return &jitter{random: rand.New(rand.NewPCG(xxhash.Sum64String(string(i)), 0))}
}

// below returns a random duration shorter than d.
func (j *jitter) below(d time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Duration(j.random.Int64N(int64(d)))
}

// jittered returns a random duration between d and 1.5 d, so that the calls of
// many daemons do not coincide.
func (c *Control) jittered(d time.Duration) time.Duration { return d + c.jitter.below(d/2+1) }

// scaledInterval returns an interval that grows with the number of daemons, so
// that the total call rate of the fleet stays bounded.
func scaledInterval(minimum, perMember time.Duration, members []membership.Member) time.Duration {
	return max(minimum, time.Duration(len(members))*perMember)
}
