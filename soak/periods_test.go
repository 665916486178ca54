package soak_test

import (
	"sync"
	"time"
)

// periods records when something was the case. It is safe for concurrent use.
type periods struct {
	mu   sync.Mutex
	list []period
}

// period is a time from a beginning to an end, which is zero if there is none yet.
type period struct{ began, ended time.Time }

func (p *periods) isOpenLocked() bool {
	return len(p.list) > 0 && p.list[len(p.list)-1].ended.IsZero()
}

// begin begins a period unless there is an open one. It is called before the effect.
func (p *periods) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isOpenLocked() {
		p.list = append(p.list, period{began: time.Now()})
	}
}

// end ends the open period, if any. It is called after the effect has ended.
func (p *periods) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isOpenLocked() {
		p.list[len(p.list)-1].ended = time.Now()
	}
}

// overlap reports whether any period shares a moment with the time between two times.
func (p *periods) overlap(from, to time.Time) bool { return p.overlapFor(0, from, to) }

// overlapFor reports whether any period of at least a length shares a moment with the time between two times.
func (p *periods) overlapFor(least time.Duration, from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.list {
		ended := one.ended
		if ended.IsZero() {
			ended = to
		}
		if !one.began.After(to) && !ended.Before(from) && ended.Sub(one.began) >= least {
			return true
		}
	}
	return false
}
