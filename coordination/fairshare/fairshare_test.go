package fairshare_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/fairshare"
)

// A level that isn't max-min fair would demote workspaces that use little, or let the capacity lie idle.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		uses := rapid.SliceOf(rapid.Custom(func(t *rapid.T) fairshare.Use {
			return fairshare.Use{PerSecond: rapid.Float64Range(0, 1e6).Draw(t, "use"), Weight: rapid.Float64Range(1, 1e6).Draw(t, "weight")}
		})).Draw(t, "uses")
		capacity := rapid.Float64Range(0, 1e7).Draw(t, "capacity")
		level := fairshare.Level(uses, capacity)
		total, served := 0.0, 0.0
		for _, u := range uses {
			total += u.PerSecond
			served += min(u.PerSecond, level*u.Weight)
		}
		is.True(math.Abs(served-min(total, capacity)) <= 1e-6*(1+total))
		over, share := 0, fairshare.ShareLevel(uses, rapid.Float64Range(0, 1).Draw(t, "served"))
		for _, u := range uses {
			if fairshare.Over(u, share) {
				over++
			}
		}
		is.True(over == 0 || over < len(uses)) // never all
	})
}

// One busy workspace must be found whatever its part of the load, and none if all use the same for their weights.
func TestWhoIsOver(t *testing.T) {
	is := is.New(t)
	for _, busy := range []float64{1.5, 6, 50, 1000} {
		for _, served := range []float64{0.1, 0.6, 1} {
			uses := []fairshare.Use{{busy, 1}, {1, 1}, {2, 2}}
			level := fairshare.ShareLevel(uses, served)
			is.True(fairshare.Over(uses[0], level))
			is.True(!fairshare.Over(uses[1], level) && !fairshare.Over(uses[2], level))
			even := []fairshare.Use{{3, 1}, {3, 1}, {6, 2}}
			is.True(!fairshare.Over(even[0], fairshare.ShareLevel(even, served)))
		}
	}
	for _, bad := range []fairshare.Use{{math.NaN(), 1}, {1, 0}, {-1, 1}, {1, math.Inf(1)}} {
		is.True(!fairshare.Over(bad, fairshare.ShareLevel([]fairshare.Use{bad}, 1)))
	}
}

// Demotion must put no request ahead of its own class or behind another one, and numbering by rank must not change the order.
func TestDemotedStaysBeforeOtherClasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		priorities := rapid.SliceOfN(rapid.IntRange(-1, 12), 1, 8).Draw(t, "priorities")
		classes, ranked := fairshare.NewClasses(priorities), rapid.Bool().Draw(t, "ranked")
		for _, p := range priorities {
			kept, _ := classes.EnginePriority(p, false, ranked)
			lower, demoted := classes.EnginePriority(p, true, ranked)
			is.True(kept == p || ranked)
			is.True(demoted && lower == kept+1 && lower <= fairshare.LastPriority || !demoted && lower == kept)
			for _, q := range priorities {
				if min(p, fairshare.LastPriority) >= min(q, fairshare.LastPriority) {
					continue
				}
				other, _ := classes.EnginePriority(q, false, ranked)
				is.True(kept < other && lower < other)
			}
		}
	})
	is := is.New(t)
	dense := fairshare.NewClasses([]int{1, 0, 2, 0})
	for p := range 3 {
		lower, demoted := dense.EnginePriority(p, true, true)
		is.True(demoted && lower == 2*p+1)
	}
	_, demoted := fairshare.NewClasses([]int{0, 1, 2, 3, 4, 5}).EnginePriority(5, true, true)
	is.True(!demoted) // more classes than the engines' priorities hold twice
}

// A service must count as short only while a quarter of the requests wait, and one second longer.
func TestShortage(t *testing.T) {
	is := is.New(t)
	var s fairshare.Shortage
	const target = 800 * time.Millisecond
	now := time.Hour
	play := func(seconds float64, everyNth int) {
		for i := range int(seconds * 20) {
			wait := 100 * time.Millisecond
			if everyNth > 0 && i%everyNth == 0 {
				wait = 500 * time.Millisecond
			}
			now += 50 * time.Millisecond
			s.Observe(now, wait, target)
			s.Observe(now, time.Hour, 0) // a route without a target says nothing
			_ = s.Short(now)
		}
	}
	play(3, 0)
	is.True(!s.Short(now))
	play(3, 5)
	is.True(!s.Short(now))
	play(3, 3)
	is.True(s.Short(now))
	play(0.9, 0)
	is.True(s.Short(now))
	play(1.2, 0)
	is.True(!s.Short(now))
}

// Callers that return must neither meet at one moment nor overtake each other, and no place may be lost to a caller
// that won't wait for it.
func TestReturnsInOrderOfRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var s fairshare.Schedule
		places := fairshare.NewPlaces()
		now, last := time.Second, time.Duration(0)
		given := map[time.Duration]bool{}
		for i := range rapid.IntRange(1, 200).Draw(t, "refusals") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			for range rapid.IntRange(0, 3).Draw(t, "served") {
				s.Served(now)
			}
			earliest := now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "late"))*time.Millisecond
			honoured := now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "honoured"))*time.Millisecond
			at, kept := s.Next(now, earliest, honoured)
			is.True(at >= earliest)
			if !kept {
				is.True(at > honoured)
				continue
			}
			is.True(at > last && at <= honoured && !given[at])
			last, given[at] = at, true
			request := uint64(i + 1)
			is.True(places.Add(now, request, at))
			is.True(!places.Add(now, request, at+time.Second))
			is.True(at <= now+100*time.Millisecond || !places.Take(now, request)) // too early
			is.True(places.Take(at, request))
			is.True(!places.Take(at, request)) // only once
		}
	})
}

// Each place must be in three messages, no message may be larger than its bound, and new places must be told although
// more come than can be.
func TestAnnouncementsAreRepeated(t *testing.T) {
	is := is.New(t)
	var a fairshare.Announcements
	told := map[uint64]int{}
	tell := func(places, messages int) {
		for i := range places {
			a.Add(fairshare.Place{Request: uint64(i), At: time.Minute})
		}
		for range messages {
			next := a.Next(time.Second)
			is.True(len(next) <= fairshare.MaxAnnounced)
			for _, p := range next {
				told[p.Request]++
			}
		}
	}
	tell(100, 3*100/fairshare.MaxAnnounced+3)
	is.Equal(len(told), 100)
	for _, n := range told {
		is.Equal(n, 3)
	}
	clear(told)
	for range 100 {
		tell(fairshare.MaxAnnounced, 1)
	}
	is.Equal(len(told), fairshare.MaxAnnounced)
	tell(1000, 0)
	is.Equal(len(a.Next(time.Hour)), 0) // nobody returns any more
}
