package canary

import (
	"math"
	"time"
)

// The histogram of durations has four buckets per octave, starting at a tenth of a
// millisecond. The last bucket takes all longer durations.
const (
	durationBuckets  = 80
	bucketsPerOctave = 4
	firstBucketEnd   = 100 * time.Microsecond
)

// Counts holds the answers of one version in one series.
type Counts struct {
	// Answers counts all answers. Failed counts those that a caller could not use.
	Answers, Failed int
	// Times is the histogram of the durations of complete answers.
	Times [durationBuckets]int
}

// CountAnswer counts a complete answer.
func (c *Counts) CountAnswer(d time.Duration) {
	c.Answers++
	c.Times[bucketOf(d)]++
}

// CountFailure counts a failed answer.
func (c *Counts) CountFailure() {
	c.Answers++
	c.Failed++
}

func bucketOf(d time.Duration) int {
	if d <= firstBucketEnd {
		return 0
	}
	return min(durationBuckets-1, int(bucketsPerOctave*math.Log2(float64(d)/float64(firstBucketEnd))))
}

// minus returns what was added since an earlier state.
func (c *Counts) minus(earlier *Counts) Counts {
	d := Counts{Answers: max(0, c.Answers-earlier.Answers), Failed: max(0, c.Failed-earlier.Failed)}
	for i := range c.Times {
		d.Times[i] = max(0, c.Times[i]-earlier.Times[i])
	}
	return d
}

// Series identifies the answers that are compared with each other: those of one route, by one
// kind of duration (see Pace).
type Series struct {
	Route string
	// Pace says that the durations are those between the events of a stream. Otherwise they
	// run up to the complete answer or up to the first event.
	Pace bool
}

// Tally holds what one daemon has counted since the beginning of an order.
type Tally map[Series]*VersionCounts

// VersionCounts holds the answers of both versions.
type VersionCounts struct{ Old, New Counts }

// Of returns the counters of one version in a series.
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
