package reclaim

import (
	"cmp"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/bench/enginemodel"
	"geraniumstack.org/geraniumstack/coordination/view"
)

const (
	// baselineMargin is how long before the end of a runner the baseline "resume"
	// moves its streams to another runner.
	baselineMargin = 2 * time.Second
	baselineRetry  = time.Second
)

// baseline is a policy without a reclaim plan: streams keep running on a leaving
// runner until shortly before its end, or until its end.
type baseline struct {
	w *simulation
	// resume moves a stream shortly before its runner's end and continues after the
	// tokens emitted so far. Without it, the request restarts from the first token
	// once its runner is gone.
	resume bool
	// leastLoaded picks the runner with the fewest jobs, without any reporting delay.
	// Without it, runners are picked in turn.
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

// sorted returns jobs in the order of their arrival, so that runs are deterministic.
func sorted(jobs map[int]*job) []*job {
	list := make([]*job, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return list
}
