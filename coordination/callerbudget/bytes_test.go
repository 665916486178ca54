package callerbudget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/callerbudget"
	"geraniumstack.org/geraniumstack/state/ident"
)

const budget = 16 << 20

// fill adds unfinished requests of the workspace, which begin a second apart and hold a number of bytes each.
func fill(is *is.I, b *callerbudget.Bytes, workspace ident.Workspace, first, last callerbudget.ID, each int64) {
	for id := first; id <= last; id++ {
		at := time.Duration(id) * time.Second
		b.Begin(at, id)
		b.Identify(id, workspace)
		is.True(b.Grow(at, id, each).Granted)
	}
}

// Guards against a crowd that came first and keeps all others out.
func TestUnfinishedRequestThatHoldsMostForLongestIsEnded(t *testing.T) {
	is := is.New(t)
	b := callerbudget.NewBytes(budget)
	fill(is, b, "crowd", 1, 7, 1<<20)
	fill(is, b, "second crowd", 8, 11, 1<<20)
	now := time.Minute
	b.Begin(now, 100)
	b.Identify(100, "other")
	// The first ones have held as much as the others, for longer.
	is.Equal(b.Grow(now, 100, 3<<20), callerbudget.Decision{End: []callerbudget.ID{1, 2}})
	is.Equal(b.Grow(now, 100, 3<<20), callerbudget.Decision{}) // they are named once
	b.Release(1)
	b.Release(2)
	is.True(b.Grow(now, 100, 3<<20).Granted)
}

// Guards against whole requests, which can't be ended, that leave small requests no room.
func TestWholeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	b := callerbudget.NewBytes(budget)
	for _, workspace := range []ident.Workspace{"a", "b", "c"} {
		first := callerbudget.ID(1000 * (1 + len(workspace)*int(workspace[0])))
		for id := first; ; id++ {
			b.Begin(0, id)
			b.Identify(id, workspace)
			if !b.Grow(0, id, 4<<20).Granted {
				b.Release(id)
				break
			}
			b.Whole(id)
		}
	}
	b.Begin(0, 1)
	is.True(b.Grow(0, 1, 1<<10).Granted)
	b.Begin(0, 2)
	d := b.Grow(0, 2, 4<<20)
	is.Equal(d, callerbudget.Decision{End: []callerbudget.ID{2}}) // only the new one can be ended
}

// Guards against one workspace's large requests that leave the others' no room.
func TestWorkspaceTakesItsShareOnly(t *testing.T) {
	is := is.New(t)
	b := callerbudget.NewBytes(budget)
	fill(is, b, "crowd", 1, 8, 1<<20)
	b.Begin(time.Minute, 9)
	b.Identify(9, "crowd")
	is.Equal(b.Grow(time.Minute, 9, 1<<20).End, []callerbudget.ID{1})
	b.Begin(time.Minute, 100)
	b.Identify(100, "other")
	is.True(b.Grow(time.Minute, 100, 4<<20).Granted)
}

// Guards against a single request within the limits that is refused in calm, also by the smallest VM of a test.
func TestLargestRequestFitsInCalm(t *testing.T) {
	const smallestMemory, maxBody = 96 << 20, 4 << 20
	b := callerbudget.NewBytes(callerbudget.LimitsOf(smallestMemory, 0).Bytes)
	b.Begin(0, 1)
	is.New(t).True(b.Grow(0, 1, maxBody+64<<10).Granted)
}

// Whatever callers do, no more is granted than the budget, requests that have been read are never ended, none is ended
// twice, and one that isn't granted what it needs is ended itself or waits for one that is.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := callerbudget.NewBytes(1 << 20)
		held := map[callerbudget.ID]int64{}
		whole, ended := map[callerbudget.ID]bool{}, map[callerbudget.ID]bool{}
		anyID := rapid.Uint64Range(1, 12)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now := time.Duration(i) * time.Millisecond
			id := callerbudget.ID(anyID.Draw(t, "id"))
			_, open := held[id]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				b.Release(id)
				delete(held, id)
				delete(whole, id)
				delete(ended, id)
			case 1:
				if open && !ended[id] {
					b.Whole(id)
					whole[id] = true
				}
			default:
				if !open {
					b.Begin(now, id)
					b.Identify(id, rapid.SampledFrom([]ident.Workspace{"", "a", "b"}).Draw(t, "workspace"))
					held[id] = 0
				}
				if whole[id] || ended[id] {
					continue
				}
				n := rapid.Int64Range(1, 600<<10).Draw(t, "bytes")
				d := b.Grow(now, id, n)
				for _, e := range d.End {
					if whole[e] || ended[e] {
						t.Fatalf("%d is ended: whole %v, ended before %v", e, whole[e], ended[e])
					}
					ended[e] = true
				}
				if d.Granted {
					held[id] += n
				} else if len(ended) == 0 {
					t.Fatalf("%d waits for nobody", id)
				}
			}
			sum := int64(0)
			for _, n := range held {
				sum += n
			}
			if sum != b.Used() || sum > b.Limit() {
				t.Fatalf("%d bytes are held, %d of %d counted", sum, b.Used(), b.Limit())
			}
		}
	})
}

// Guards against callers that don't read their answers, which fill the memory.
func TestCallerThatDoesNotReadIsEnded(t *testing.T) {
	is := is.New(t)
	b := callerbudget.NewBytes(budget)
	for id := range callerbudget.ID(2) {
		b.Begin(0, id+1)
		b.Whole(id + 1)
		is.Equal(len(b.BeginAnswer(0, id+1, 7<<20)), 0)
	}
	b.Begin(0, 3)
	b.Whole(3)
	is.Equal(len(b.BeginAnswer(time.Second/2, 3, 3<<20)), 0) // the others may still read
	b.EndAnswer(3)
	is.Equal(b.BeginAnswer(time.Second, 3, 3<<20), []callerbudget.ID{1})
	b.EndAnswer(3)
	b.Release(1)
	is.Equal(b.Used(), int64(7<<20))
}
