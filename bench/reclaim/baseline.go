package reclaim

import (
	"cmp"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/bench/enginemodel"
	"geraniumstack.org/geraniumstack/coordination/view"
)

const (
	// baselineMargin is how long before the end of its runner a baseline
	// takes a stream off it.
	baselineMargin = 2 * time.Second
	baselineRetry  = time.Second
)

// baseline does without a plan: streams run on their leaving runner to its end.
type baseline struct {
	w *simulation
	// resume goes on after the emitted tokens, shortly before the runner's
	// end; without it the request begins anew when its runner is gone.
	resume bool
	// leastLoaded sees the runners' load without a lag; without it they get
	// their turn.
	leastLoaded bool
	next        int
}

func (b *baseline) arrived(j *job) { b.start(j) }

func (b *baseline) start(j *job) {
	emitted := 0
	if b.resume {
		emitted = j.emitted
	}
	r := b.pick()
	if r == nil || !b.w.dispatch(j, r, emitted, 0) {
		b.w.after(baselineRetry, func() { b.start(j) })
	}
}

func (b *baseline) pick() *runner {
	var live []*runner
	for _, r := range b.w.runners {
		if r.State == view.Live {
			live = append(live, r)
		}
	}
	if len(live) == 0 {
		return nil
	}
	if b.leastLoaded {
		return slices.MinFunc(live, func(x, y *runner) int { return cmp.Compare(len(x.jobs), len(y.jobs)) })
	}
	b.next++
	return live[b.next%len(live)]
}

func (b *baseline) token(*job, enginemodel.Event) {}
func (b *baseline) finished(j *job)               { b.w.finish(j, false) }
func (b *baseline) lost(j *job)                   { b.start(j) }
func (b *baseline) loadsReported()                {}
func (b *baseline) runnersChanged()               {}

func (b *baseline) noticeGiven(leaving []*runner) {
	if !b.resume {
		return
	}
	b.w.after(notice-baselineMargin, func() {
		for _, r := range leaving {
			for _, j := range sorted(r.jobs) {
				b.w.cancel(j)
				b.start(j)
			}
		}
	})
}

// sorted lists jobs in the order of their arrival, so that runs repeat.
func sorted(jobs map[int]*job) []*job {
	list := make([]*job, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return list
}
