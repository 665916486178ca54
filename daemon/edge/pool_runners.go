package edge

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// This file keeps a pool's list of runners.

// setRunners replaces the list of runners, unless the pool has a newer one already. Runners that were
// withdrawn after the list was copied are leaving or gone, whatever it says.
func (p *pool) setRunners(now time.Time, from *runnerList) {
	runners := from.byService[p.name]
	slices.SortFunc(runners, func(a, b Runner) int { return strings.Compare(string(a.ID), string(b.ID)) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if from.number < p.listed {
		p.edge.log.Count("runners.older_list")
		return
	}
	p.listed, p.listedAt = from.number, from.copiedAt
	maps.DeleteFunc(p.withdrawn, func(_ ident.RunnerID, withdrawn publication) bool { return withdrawn < from.number })
	for i := range runners {
		if _, withdrawn := p.withdrawn[runners[i].ID]; withdrawn {
			runners[i].State = view.Leaving
		}
	}
	list := make([]view.Runner, 0, len(runners))
	ids := make([]ident.RunnerID, 0, len(runners))
	p.runners = make(map[ident.RunnerID]Runner, len(runners))
	p.versions = nil
	for _, r := range runners {
		list = append(list, r.Runner)
		ids = append(ids, r.ID)
		p.runners[r.ID] = r
		if !slices.Contains(p.versions, r.Version) {
			p.versions = append(p.versions, r.Version)
		}
	}
	if len(list) > routing.MaxRunners && len(p.versions) > 1 {
		list = chooseOfEachVersion(p.edge.settings.ID, runners)
	}
	p.table.SetRunners(now, list)
	clear(p.reportedIdle)
	p.tracker.SetRunners(ids)
	p.edge.runnerSpeeds.setRunners(p.name, p.service.Engine != nil && p.edge.settings.Policy.Uses(RunnerSpeeds), runners)
	p.updateLoadsLocked(now)
}

// minRunnersOfVersion is the number of runners of each software version that a daemon uses if there are
// as many.
const minRunnersOfVersion = 16

// chooseOfEachVersion returns the runners that a daemon uses, at most routing.MaxRunners. Of a version with
// few runners it keeps some: streams that they have begun can go on nowhere else.
func chooseOfEachVersion(self ident.DaemonID, runners []Runner) []view.Runner {
	byVersion := map[canary.Version][]view.Runner{}
	for _, r := range runners {
		if r.State != view.Leaving {
			byVersion[r.Version] = append(byVersion[r.Version], r.Runner)
		}
	}
	versions := slices.SortedFunc(maps.Keys(byVersion), func(a, b canary.Version) int {
		return cmp.Or(cmp.Compare(len(byVersion[a]), len(byVersion[b])), cmp.Compare(a, b))
	})
	chosen := make([]view.Runner, 0, routing.MaxRunners)
	for i, v := range versions {
		room := routing.MaxRunners - len(chosen)
		share := max(minRunnersOfVersion, len(byVersion[v])*routing.MaxRunners/len(runners))
		if i == len(versions)-1 {
			share = room
		}
		chosen = append(chosen, routing.Subset(self, byVersion[v], min(room, share))...)
	}
	return chosen
}

// withdraw stops the use of runners until setRunners is called with a list that was copied later, which
// says what became of them.
func (p *pool) withdraw(now time.Time, w withdrawal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.number < p.listed {
		p.edge.log.Count("runners.older_withdrawal")
		return
	}
	for _, id := range w.runners {
		p.withdrawn[id] = max(p.withdrawn[id], w.number)
		if r, ok := p.runners[id]; ok {
			r.State = view.Leaving
			p.runners[id] = r
		}
	}
	p.table.Withdraw(now, w.runners)
}

// slotsOf returns how many requests a runner works on at the same time. The caller must hold
// mu.
func (p *pool) slotsOf(id ident.RunnerID) int {
	if n := p.runners[id].Slots; n > 0 {
		return n
	}
	return defaultSlots
}

// entryOf returns a runner's entry, the zero value if there is none.
func (p *pool) entryOf(id ident.RunnerID) Runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runners[id]
}

// listAge returns how long ago the list of runners in use was copied.
func (p *pool) listAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.edge.deps.Steady() - p.listedAt
}
