package fairshare_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/fairshare"
	"geraniumstack.org/geraniumstack/coordination/quota"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Each workspace usually brings usual tokens a second, and an engine reads rate.
const (
	daemons, engines, workspaces, days = 12, 6, 10, 2
	rate                               = 20_000.0
	usual                              = 0.7 * engines * rate / workspaces
	target, givesUpAfter               = 800 * time.Millisecond, 3200 * time.Millisecond
	callerTimeout, length              = 10 * time.Second, 40 * time.Second
	highFrom, highTo, step             = 10 * time.Second, 30 * time.Second, 5 * time.Millisecond
)

// request is one of a caller, of which left tokens are to be read. It came first at first, and comes again at at.
type request struct {
	at, first                                            time.Duration
	id                                                   uint64
	workspace, class, cost, daemon, priority, left, high int
}

// draw returns the requests of one day. While the load is high, workspace 0 brings busy times its usual load, and the others
// burst times theirs in the least urgent class.
func draw(seed uint64, busy, burst float64) (all []request) {
	for i := range workspaces * 3 {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := time.Duration(0); at < length; {
			factor, high := 1.0, 0
			if at >= highFrom && at < highTo {
				high = 1
				if i/3 == 0 {
					factor = busy
				} else if i%3 == 2 {
					factor = burst
				}
			}
			at += time.Duration(r.ExpFloat64() / (factor * usual / 3 / 1500) * float64(time.Second))
			cost := 500 + r.IntN(2000)
			all = append(all, request{at: at, first: at, id: uint64(1+i)<<32 | uint64(len(all)), workspace: i / 3, class: i % 3, cost: cost, left: cost, daemon: r.IntN(daemons), high: high})
		}
	}
	slices.SortFunc(all, func(a, b request) int { return int(a.at - b.at) })
	return all
}

// daemon is what one daemon knows.
type daemon struct {
	fairshare.Service
	limiter    *quota.Limiter
	throughput fairshare.Throughput
}

// over reports whether a workspace is over its share, as daemons that grant quota do.
func (d *daemon) over(now time.Duration, ws ident.Workspace) bool {
	var uses []fairshare.Use
	recent := d.limiter.RecentUses(now)
	for _, u := range recent {
		uses = append(uses, fairshare.Use{PerSecond: u.PerSecond, Weight: u.Quota})
	}
	return fairshare.Over(fairshare.Use{PerSecond: recent[ws].PerSecond, Weight: recent[ws].Quota}, fairshare.ShareLevel(uses, d.throughput.Served(now)))
}

// group is the callers of the busy workspace, or of all others, in one class. result counts their requests that came
// while the load was high. again are those that were refused although they returned at their time.
type group struct {
	busy  bool
	class int
}
type result struct{ came, inTime, again int }

// play plays requests to engines that admit by priority. With cut, the daemons of each half hear only each other.
func play(results map[group]result, all []request, part, cut bool) {
	classes, places, limits := fairshare.NewClasses([]int{0, 1, 2}), fairshare.NewPlaces(), map[ident.Workspace]quota.Limit{}
	for ws := range workspaces {
		limits[ident.Workspace(fmt.Sprint(ws))] = quota.Limit{PerSecond: 8 * usual, Burst: 8 * usual}
	}
	var fleet [daemons]daemon
	for i := range fleet {
		fleet[i].limiter = quota.New(0, 8*time.Second, quota.Tolerance{Overage: 0.1, Slack: 8 * usual}, true)
		fleet[i].limiter.SetLimits(0, limits)
	}
	var queues [engines][]request
	var tokens [engines]int
	returning := map[time.Duration][]request{}
	count := func(a request, r result) {
		g := group{a.workspace == 0, a.class}
		sum := results[g]
		results[g] = result{sum.came + a.high*r.came, sum.inTime + a.high*r.inTime, sum.again + a.high*r.again}
	}
	for now := time.Duration(0); now < length+callerTimeout; now += step {
		for i := 0; i < daemons && now%(100*time.Millisecond) == 0; i++ {
			uses := fleet[i].limiter.Uses(now)
			for j := range fleet {
				if i != j && !(cut && now > highFrom && i%2 != j%2) {
					fleet[j].limiter.ApplyPeerState(now, ident.Incarnation(fmt.Sprint(i)), now, uses)
				}
			}
		}
		for i := range queues {
			for left := int(rate * step.Seconds()); left > 0 && len(queues[i]) > 0; {
				a := &queues[i][0]
				read := min(left, a.left)
				left, a.left, tokens[i] = left-read, a.left-read, tokens[i]-read
				if a.left > 0 {
					break
				}
				d := &fleet[a.daemon]
				d.throughput.Answer(now, 1)
				d.Backlog.Done(a.priority, float64(a.cost))
				d.Served(now, a.class)
				if now-a.first <= target {
					count(*a, result{inTime: 1})
				}
				queues[i] = queues[i][1:]
			}
		}
		due := returning[now]
		for ; len(all) > 0 && all[0].at <= now; all = all[1:] {
			count(all[0], result{came: 1})
			due = append(due, all[0])
		}
		for _, a := range due {
			d, ws, best := &fleet[a.daemon], ident.Workspace(fmt.Sprint(a.workspace)), 0
			comeBack := func(after time.Duration) {
				at := (now + after).Truncate(step) + step
				returning[at] = append(returning[at], a)
			}
			if wait, ok := d.limiter.Take(now, ws, float64(a.cost)); !ok {
				comeBack(wait)
				continue
			}
			for i := range tokens {
				if tokens[i] < tokens[best] {
					best = i
				}
			}
			queue, own := time.Duration(float64(tokens[best])/rate*float64(time.Second)), time.Duration(float64(a.cost)/rate*float64(time.Second))
			d.Shortage.Observe(now, queue+own, target)
			promoted, longest, honoured := part && places.Take(now, a.id), givesUpAfter, (a.first+callerTimeout-now)/3
			if promoted {
				longest = a.first + callerTimeout - now
			}
			v := fairshare.Verdict{Priority: a.class, Wait: queue + own}
			if part {
				v = d.Judge(now, classes, true, fairshare.Request{Priority: a.class, Over: d.over(now, ws), Promoted: promoted, Queue: queue, Own: own})
			}
			a.priority = v.Priority
			late := v.Wait - longest
			if late <= 0 {
				d.throughput.Send(now, 1)
				d.Backlog.Send(a.priority, float64(a.cost))
				i, _ := slices.BinarySearchFunc(queues[best], a.priority, func(q request, p int) int { return 2*(q.priority-p) - 1 })
				queues[best], tokens[best] = slices.Insert(queues[best], i, a), tokens[best]+a.cost
				continue
			}
			d.limiter.Release(ws, float64(a.cost))
			if promoted {
				count(a, result{again: 1})
			}
			after := late + 500*time.Millisecond
			if v.Short {
				at, kept := d.Return(now, a.class, late, honoured)
				if after = at - now; kept {
					places.Add(now, a.id, at)
				}
			}
			if after <= honoured {
				comeBack(after)
			}
		}
	}
}

// playDays returns the share of requests in time over all days, and the number that were refused again.
func playDays(t *testing.T, busy, burst float64, part, cut bool) (inTime map[group]float64, again int) {
	sums := map[group]result{}
	for seed := range uint64(days) {
		play(sums, draw(seed, busy, burst), part, cut)
	}
	inTime = map[group]float64{}
	for g, r := range sums {
		inTime[g] = float64(r.inTime) / float64(r.came)
		again += r.again
	}
	t.Logf("busy %v burst %v part %v cut %v: in time %.3v, refused again %d", busy, burst, part, cut, inTime, again)
	return inTime, again
}

// A workspace at six times its usual load must cost the others nothing in the more urgent classes, and less than without
// the part in the least urgent one, with a burst of that or not. The most urgent class must lose nothing to the burst. Nobody
// who returns at the given time may be refused again. This must hold on each side of a cut, too. While no service is
// short, nothing may change.
func TestBusyWorkspaceAndBurst(t *testing.T) {
	is := is.New(t)
	quiet, _ := playDays(t, 1, 1, false, false)
	same, _ := playDays(t, 1, 1, true, false)
	is.Equal(quiet, same)
	for _, load := range [][2]float64{{6, 1}, {1, 3}, {6, 3}} {
		before, _ := playDays(t, load[0], load[1], false, false)
		for _, cut := range []bool{false, true} {
			with, again := playDays(t, load[0], load[1], true, cut)
			is.Equal(again, 0)
			is.True(with[group{class: 0}] >= quiet[group{class: 0}])
			is.True(with[group{class: 1}] >= quiet[group{class: 1}]-0.01)
			is.True(with[group{class: 2}] >= before[group{class: 2}])
		}
	}
}
