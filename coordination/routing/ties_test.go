package routing

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
)

// Guards against equal runners of which one draws most requests, since the others' slots are far from the random one.
func TestTiesAreEven(t *testing.T) {
	const choices = 10_000
	for _, n := range []int{2, 10, 100, MaxRunners} {
		for _, ejected := range []int{0, n / 3} {
			t.Run(fmt.Sprintf("%d runners, %d ejected", n, ejected), func(t *testing.T) {
				is := is.New(t)
				tb := newTable(n)
				for i := range ejected {
					tb.SetEjected(ident.RunnerID(fmt.Sprintf("r%05d", 3*i)), true)
				}
				chosen := map[ident.RunnerID]int{}
				for range choices {
					c, err := tb.Pick(start, &Request{Model: "m", PromptTokens: 1, OutputTokens: 1})
					is.NoErr(err)
					chosen[c.Runner]++
				}
				domain := 0 // runners of this table's failure domain are preferred
				for i := range n {
					if i%4 == 0 && !tb.ejected.Has(i) {
						domain++
					}
				}
				is.Equal(len(chosen), domain)
				mean := choices / float64(domain)
				for id, times := range chosen {
					if math.Abs(float64(times)-mean) > 5*math.Sqrt(mean) {
						t.Errorf("%s was chosen %d times, the mean is %.0f", id, times, mean)
					}
				}
			})
		}
	}
}

// Guards against prompts that begin alike and are spread over idle engines, so that each computes what they share.
func TestEqualEnginesKeepLikePromptsTogether(t *testing.T) {
	is := is.New(t)
	tb := newTable(16)
	chosen := map[ident.RunnerID]bool{}
	for first := range 64 {
		before := ident.RunnerID("")
		for last := range 4 {
			r := &Request{Model: "m", Prefix: []prefix.Hash{prefix.Hash(1 + first), prefix.Hash(1000 + 4*first + last)}, PromptTokens: 2 * prefix.BlockTokens}
			c, err := tb.Pick(start, r)
			is.NoErr(err)
			is.True(before == "" || c.Runner == before)
			before = c.Runner
		}
		chosen[before] = true
	}
	is.Equal(len(chosen), 4) // all runners of the table's failure domain
}

// Guards against runners that fail at once and are chosen since they are idle, and against the last sound runner that gets
// all requests however long its queue.
func TestFailureChanceWeighsAgainstWaiting(t *testing.T) {
	is := is.New(t)
	tb := newTable(8)
	const sound, failing = ident.RunnerID("r00000"), ident.RunnerID("r00004")
	tb.SetFailureChance(failing, 0.5)
	r := &Request{Model: "m", PromptTokens: 100, OutputTokens: 1}
	for range 20 {
		c, err := tb.PickIn(start, "d0", r)
		is.True(err)
		is.Equal(c.Runner, sound)
	}
	tb.Report(start, sound, report(start, 6000)) // a wait that costs more than the chance of a failure
	c, _ := tb.PickIn(start, "d0", r)
	is.Equal(c.Runner, failing)
	_, ok := tb.PickCandidate(failing, r)
	is.True(!ok)
	tb.SetFailureChance(failing, 0)
	_, ok = tb.PickCandidate(failing, r)
	is.True(ok)
}
