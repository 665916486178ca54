package edge_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/view"
)

// disturbHard draws one disturbance of runners that start again, of losses of most or all daemons and of a store that is
// away or whose watches are silent, and brings it about.
func (s *streamStorm) disturbHard(next *int) {
	switch s.draw(7) {
	case 0:
		go s.killTogether(3+s.draw(len(s.life)-2), time.Duration(300+s.draw(2300))*time.Millisecond)
	case 1, 2:
		for range 2 {
			if ids := s.serving(""); len(ids) > 4 {
				v := canary.Version(fmt.Sprintf("v%d", *next-1+s.draw(2)))
				go s.restartRunner(ids[s.draw(len(ids))], v, time.Duration(s.draw(4500))*time.Millisecond)
			}
		}
	case 3:
		go s.isolateDaemon(s.draw(len(s.life)))
	case 4:
		go s.troubleStore(s.draw(2) == 0, time.Duration(500+s.draw(2500))*time.Millisecond)
	default:
		v := canary.Version(fmt.Sprintf("v%d", *next))
		*next++
		for range 4 {
			s.startRunner(v)
			if ids := s.serving(""); len(ids) > 8 {
				go s.endRunner(ids[0], true)
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// killTogether kills daemons at the same moment and starts them together.
func (s *streamStorm) killTogether(n int, down time.Duration) {
	var killed []int
	s.mu.Lock()
	for _, i := range s.rng.Perm(len(s.life)) {
		if len(killed) < n && s.life[i].ctx.Err() == nil {
			s.life[i].end()
			killed = append(killed, i)
		}
	}
	s.mu.Unlock()
	for _, i := range killed {
		s.w.isolateAndKill(s.w.daemons[i])
	}
	time.Sleep(down)
	for _, i := range killed {
		s.startDaemon(i)
	}
}

// restartRunner ends a runner, which starts again at once under its ID with a version. Its entry follows later.
func (s *streamStorm) restartRunner(id string, v canary.Version, entryAfter time.Duration) {
	s.mu.Lock()
	before := s.runners[id]
	s.mu.Unlock()
	if before == nil || before.leaving {
		return
	}
	before.fail()
	s.w.runners.fall(id, true)
	time.Sleep(100 * time.Millisecond)
	r := s.begin(id, before.starts+1, v)
	s.w.runners.fall(id, false)
	time.Sleep(entryAfter)
	s.mu.Lock()
	current := s.runners[id] == r && !r.leaving
	s.mu.Unlock()
	if current {
		s.register(id, r, view.Live)
	}
}

// troubleStore takes the key-value service away from all daemons, or silences their watches.
func (s *streamStorm) troubleStore(away bool, d time.Duration) {
	s.mu.Lock()
	daemons := append([]*daemon(nil), s.w.daemons...)
	s.mu.Unlock()
	for _, d := range daemons {
		d.store.setFaults(away, !away)
	}
	time.Sleep(d)
	for _, d := range daemons {
		d.store.setFaults(false, false)
	}
}

// Guards against streams of two versions in any course of restarts of runners whose entries follow late, losses of most
// or all daemons, and trouble of the key-value service.
func TestStreamsThroughRestartsAndLosses(t *testing.T) {
	for seed := range uint64(*stormSeeds) {
		seed += *firstStormSeed
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			withFleet(t, 5, config(1), func(w *testFleet) {
				s := newStreamStorm(w, seed)
				s.saysIncarnation, s.callersLeave = true, true
				o := s.play(s.disturbHard)
				w.True(o.mixed <= maxMixedStreams)
			})
		})
	}
}
