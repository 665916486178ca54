package quota

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// recentUseAge is the longest time since the last message of a daemon for which its use still counts as recent.
const recentUseAge = time.Second

// RecentUse is what a workspace has used lately over all daemons, in tokens per second with the time constant
// usageDecay, and the rate of its quota.
type RecentUse struct {
	PerSecond, Quota float64
}

// RecentUses returns the recent use of the workspaces that have a quota, without what was released. Only daemons
// heard within recentUseAge count. If this daemon knows of others and none of them counts, it returns nil.
func (l *Limiter) RecentUses(now time.Duration) map[ident.Workspace]RecentUse {
	if l.isolationShares > 0 {
		return nil
	}
	var heard []*peerState
	for _, p := range l.peers {
		if now-p.lastHeard <= recentUseAge {
			heard = append(heard, p)
		}
	}
	if len(heard) == 0 && len(l.peers) > 0 {
		return nil
	}
	uses := make(map[ident.Workspace]RecentUse, len(l.buckets))
	for ws, b := range l.buckets {
		if b.limit.PerSecond <= 0 {
			continue
		}
		amount := b.netUsage.value(now)
		for _, p := range heard {
			if recentUsage, ok := p.recentUsage[ws]; ok {
				amount += recentUsage.value(now)
			}
		}
		uses[ws] = RecentUse{PerSecond: amount / usageDecay.Seconds(), Quota: b.limit.PerSecond}
	}
	return uses
}
