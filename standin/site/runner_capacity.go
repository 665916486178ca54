package site

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// capacity is how fast a runner works, and on how many requests at once. Requests that find no
// free slot wait; those with the lowest value of X-Request-Priority are served first, and of
// these the one that came first.
type capacity struct {
	mu sync.Mutex
	// timeFactor multiplies the time of requests and events; zero stands for 1.
	timeFactor float64
	// slots is the number of requests that run at once; zero for any number.
	slots, running int
	waiting        []*waitingRequest
}

type waitingRequest struct {
	priority int
	admitted chan struct{}
}

// SetTimeFactor makes each request and each event of a stream take so many times as long.
func (r *Runner) SetTimeFactor(factor float64) {
	r.capacity.mu.Lock()
	defer r.capacity.mu.Unlock()
	r.capacity.timeFactor = factor
}

// SetSlots bounds the number of requests that the runner executes at once. It is called before
// the first request.
func (r *Runner) SetSlots(n int) {
	r.capacity.mu.Lock()
	defer r.capacity.mu.Unlock()
	r.capacity.slots = n
}

// scaled returns the time that a piece of work takes at this runner.
func (c *capacity) scaled(work time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(float64(work) * cmp.Or(c.timeFactor, 1))
}

// acquire waits for a slot. A request without a valid priority is served as the most urgent one.
func (c *capacity) acquire(h http.Header) {
	c.mu.Lock()
	if c.slots == 0 || c.running < c.slots {
		c.running++
		c.mu.Unlock()
		return
	}
	priority, err := strconv.Atoi(h.Get("X-Request-Priority"))
	if err != nil {
		priority = 0
	}
	w := &waitingRequest{priority: priority, admitted: make(chan struct{})}
	i, _ := slices.BinarySearchFunc(c.waiting, priority+1, func(other *waitingRequest, p int) int { return cmp.Compare(other.priority, p) })
	c.waiting = slices.Insert(c.waiting, i, w)
	c.mu.Unlock()
	<-w.admitted
}

// release gives a slot to the first waiting request.
func (c *capacity) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) == 0 {
		c.running--
		return
	}
	close(c.waiting[0].admitted)
	c.waiting = c.waiting[1:]
}
