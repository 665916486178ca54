package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/quota"
	"geraniumstack.org/geraniumstack/state/ident"
)

// The recent use must be that of all daemons without what was given back. Use that is older than a second, as in a cut
// between failure domains, must not count, and a daemon that hears none of the others must know no use at all.
func TestRecentUsesOfAllDaemons(t *testing.T) {
	is := is.New(t)
	l := quota.New(0, window, quota.Tolerance{}, true)
	l.SetLimits(0, limits(100, 200))
	heard := func(now time.Duration, taken float64) {
		l.ApplyPeerState(now, "peer", now, map[ident.Workspace]quota.Use{ws: {Taken: taken}})
	}
	wanted := func(now time.Duration, own, peer float64) {
		uses := l.RecentUses(now)
		is.Equal(uses[ws].Quota, 100.0)
		is.True(math.Abs(uses[ws].PerSecond-own*math.Exp(-now.Seconds())-peer) < 1e-6)
	}
	_, _ = l.Take(0, ws, 40)
	wanted(0, 40, 0)
	heard(0, 0)
	heard(100*time.Millisecond, 30)
	l.Release(ws, 10)
	wanted(100*time.Millisecond, 30, 30)
	is.Equal(len(l.RecentUses(1200*time.Millisecond)), 0)
	l.PeerEnded("peer")
	wanted(1200*time.Millisecond, 30, 0)
	l.SetIsolationShares(3)
	is.Equal(len(l.RecentUses(1200*time.Millisecond)), 0)
}
