package fairshare_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/fairshare"
)

// A level that isn't max-min fair would demote workspaces that use little, or leave capacity idle; if all were over their
// shares, demotion would protect none.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		uses := rapid.SliceOf(rapid.Custom(func(t *rapid.T) fairshare.Use {
			return fairshare.Use{PerSecond: rapid.Float64Range(0, 1e6).Draw(t, "use"), Weight: rapid.Float64Range(1, 1e6).Draw(t, "weight")}
		})).Draw(t, "uses")
		capacity, total, served, over := rapid.Float64Range(0, 1e7).Draw(t, "capacity"), 0.0, 0.0, 0
		level, share := fairshare.Level(uses, capacity), fairshare.ShareLevel(uses, rapid.Float64Range(0, 1).Draw(t, "served"))
		for _, u := range uses {
			total += u.PerSecond
			served += min(u.PerSecond, level*u.Weight)
			if fairshare.Over(u, share) {
				over++
			}
		}
		is.True(math.Abs(served-min(total, capacity)) <= 1e-6*(1+total))
		is.True(over == 0 || over < len(uses))
	})
}

// One busy workspace must be found whatever its part of the load, and no other one.
func TestWhoIsOver(t *testing.T) {
	is := is.New(t)
	for _, busy := range []float64{1, 1.5, 6, 50, 1000} {
		for _, served := range []float64{0.1, 0.6, 1} {
			uses := []fairshare.Use{{busy, 1}, {1, 1}, {2, 2}, {math.NaN(), 1}, {1, 0}, {-1, 1}, {1, math.Inf(1)}}
			for i, u := range uses {
				is.Equal(fairshare.Over(u, fairshare.ShareLevel(uses, served)), i == 0 && busy > 1)
			}
		}
	}
}

// Demotion must put no request ahead of its own class or behind another one, and numbering by rank must not change the order.
func TestDemotedStaysBeforeOtherClasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		priorities := rapid.SliceOfN(rapid.IntRange(-1, 12), 1, 8).Draw(t, "priorities")
		classes, ranked, distinct := fairshare.NewClasses(priorities), rapid.Bool().Draw(t, "ranked"), map[int]bool{}
		for _, p := range priorities {
			distinct[p] = true
			kept, _ := classes.EnginePriority(p, false, ranked)
			lower, demoted := classes.EnginePriority(p, true, ranked)
			is.True(kept == p || ranked)
			is.True(demoted && lower == kept+1 && lower <= fairshare.LastPriority || !demoted && lower == kept)
			for _, q := range priorities {
				other, _ := classes.EnginePriority(q, false, ranked)
				is.True(min(p, fairshare.LastPriority) >= min(q, fairshare.LastPriority) || kept < other && lower < other)
			}
		}
		_, demoted := classes.EnginePriority(0, true, true)
		is.True(demoted || !distinct[0] || len(distinct) > 5)
	})
}

// A service must count as short only while a quarter of the requests wait, and one second longer.
func TestShortage(t *testing.T) {
	var s fairshare.Shortage
	now := time.Hour
	for _, c := range []struct {
		milliseconds, everyNth int
		short                  bool
	}{{3000, 0, false}, {3000, 5, false}, {3000, 3, true}, {900, 0, true}, {1200, 0, false}} {
		for i := range c.milliseconds / 50 {
			wait := 100 * time.Millisecond
			if c.everyNth > 0 && i%c.everyNth == 0 {
				wait = 500 * time.Millisecond
			}
			now += 50 * time.Millisecond
			s.Observe(now, wait, 800*time.Millisecond)
			s.Observe(now, time.Hour, 0) // a route without a target says nothing
			_ = s.Short(now)
		}
		is.New(t).Equal(s.Short(now), c.short)
	}
}

// Callers that return must neither meet at one moment nor overtake each other, and each place must serve one return.
func TestReturnsInOrderOfRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var s fairshare.Schedule
		places := fairshare.NewPlaces()
		now, last := time.Second, time.Duration(0)
		draw := func(name string, to int) time.Duration {
			return time.Duration(rapid.IntRange(0, to).Draw(t, name)) * time.Millisecond
		}
		for i := range rapid.IntRange(1, 100).Draw(t, "refusals") {
			now += draw("passed", 50)
			s.Served(now)
			earliest, honoured, request := now+draw("late", 2000), now+draw("honoured", 3000), uint64(i+1)
			at, kept := s.Next(now, earliest, honoured)
			is.True(at >= earliest && at > last && kept == (at <= honoured))
			if kept {
				last = at
				is.True(places.Add(now, request, at) && !places.Add(now, request, at+time.Second))
				is.True(at <= now+100*time.Millisecond || !places.Take(now, request)) // too early
				is.True(places.Take(at, request) && !places.Take(at, request))
			}
		}
	})
}

// Each place must be in three messages, no message may be larger than its bound, and new places must be told although
// more come than can be.
func TestAnnouncementsAreRepeated(t *testing.T) {
	is := is.New(t)
	var a fairshare.Announcements
	for _, perMessage := range []int{5, 16, 200} {
		told := map[uint64]int{}
		for i := range 100 * perMessage {
			a.Add(fairshare.Place{Request: uint64(i), At: time.Minute})
			if i%perMessage == 0 {
				next := a.Next(time.Second)
				is.True(len(next) <= fairshare.MaxAnnounced)
				for _, p := range next {
					told[p.Request]++
				}
			}
		}
		is.True(len(told) >= min(98*perMessage, 98*fairshare.MaxAnnounced))
		is.True(perMessage > 5 || told[100] == 3)
		is.Equal(len(a.Next(time.Hour)), 0) // nobody returns any more
	}
}
