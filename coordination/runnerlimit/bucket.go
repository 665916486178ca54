package runnerlimit

import "time"

const (
	// burstPeriod is the time whose permits a bucket holds at most, but at least minBurst. With
	// room for one only, a permit is lost whenever no request comes at the right moment.
	burstPeriod = 500 * time.Millisecond
	minBurst    = 2
	// maxQueueWait bounds how much later than the next permit a daemon that gets none is told
	// to ask again.
	maxQueueWait = 200 * time.Millisecond
)

// bucket is a token bucket of the permits for a runner that states a request rate.
type bucket struct {
	perSecond float64
	// level is the number of permits in the bucket as of refilledAt.
	level      float64
	refilledAt time.Duration
	queue      queue
}

func (b *bucket) take(now time.Duration) (time.Duration, bool) {
	b.refill(now)
	if b.level >= 1 {
		b.level--
		return 0, true
	}
	perPermit := time.Duration(float64(time.Second) / b.perSecond)
	return b.queue.wait(now, time.Duration((1-b.level)*float64(perPermit)), perPermit), false
}

func (b *bucket) setRate(now time.Duration, perSecond float64) {
	b.refill(now)
	b.perSecond = perSecond
}

// refill adds the permits that the bucket gained since the last refill.
func (b *bucket) refill(now time.Duration) {
	gained := b.perSecond * (now - b.refilledAt).Seconds()
	b.level = min(max(minBurst, b.perSecond*burstPeriod.Seconds()), b.level+max(0, gained))
	b.refilledAt = now
}

// queue tells daemons that get no permit when to ask again, each another time. nextFree is the
// time for the next one.
type queue struct{ nextFree time.Duration }

// wait returns the time until the caller should ask again. available is the time until the next
// permit, interval the time between two.
func (q *queue) wait(now, available, interval time.Duration) time.Duration {
	q.nextFree = min(max(q.nextFree, now+available), now+available+maxQueueWait)
	wait := q.nextFree - now
	q.nextFree += interval
	return wait
}
