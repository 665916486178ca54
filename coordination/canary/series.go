package canary

import (
	"math"
	"time"
)

// Buckets of times, four an octave from a tenth of a millisecond on; the last one takes all
// that is longer.
const (
	timeBuckets      = 80
	bucketsPerOctave = 4
	firstBucketEnd   = 100 * time.Microsecond
)

// Counts are the answers of one version to one series of requests.
type Counts struct {
	// Answers of all kinds, of which Failed were none that a caller could use.
	Answers, Failed int
	// Times are the whole answers by how long they took.
	Times [timeBuckets]int
}

// CountAnswer counts a whole answer.
func (c *Counts) CountAnswer(d time.Duration) {
	c.Answers++
	c.Times[bucketOf(d)]++
}

// CountFailure counts a failure.
func (c *Counts) CountFailure() {
	c.Answers++
	c.Failed++
}

func bucketOf(d time.Duration) int {
	if d <= firstBucketEnd {
		return 0
	}
	return min(timeBuckets-1, int(bucketsPerOctave*math.Log2(float64(d)/float64(firstBucketEnd))))
}

// minus is what came after a former state.
func (c *Counts) minus(earlier *Counts) Counts {
	d := Counts{Answers: max(0, c.Answers-earlier.Answers), Failed: max(0, c.Failed-earlier.Failed)}
	for i := range c.Times {
		d.Times[i] = max(0, c.Times[i]-earlier.Times[i])
	}
	return d
}

// Series names answers that are compared with each other: a route's, by one measure.
type Series struct {
	Route string
	// Pace says that the times are those between the events of a stream, not up to the
	// whole answer or the first event.
	Pace bool
}

// Tally is what one daemon has counted of an order, from its beginning on.
type Tally map[Series]*VersionCounts

// VersionCounts are the answers of both versions.
type VersionCounts struct{ Old, New Counts }

// Of returns the counts of a version in a series.
func (t Tally) Of(s Series, isNew bool) *Counts {
	b, ok := t[s]
	if !ok {
		b = &VersionCounts{}
		t[s] = b
	}
	if isNew {
		return &b.New
	}
	return &b.Old
}

func (t Tally) clone() Tally {
	c := make(Tally, len(t))
	for s, b := range t {
		both := *b
		c[s] = &both
	}
	return c
}
