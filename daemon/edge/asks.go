package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// asks holds the questions to other daemons that wait for an answer of type T, by ID.
type asks[T any] struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan T
}

// firstAskID returns the random number at which the IDs of questions to other daemons start, so
// that an answer to a former process at this address matches no question of this one.
func firstAskID() uint64 { return rand.Uint64() }

func (a *asks[T]) init() {
	a.last = firstAskID()
	a.waiting = map[uint64]chan T{}
}

// add registers a question, whose first answer arrives on the channel. It must be removed.
func (a *asks[T]) add() (id uint64, answers <-chan T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	channel := make(chan T, 1)
	a.waiting[a.last] = channel
	return a.last, channel
}

func (a *asks[T]) remove(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
}

// answer passes an answer to the question that waits for it, and returns false if none does.
func (a *asks[T]) answer(id uint64, answer T) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	channel, ok := a.waiting[id]
	if ok {
		delete(a.waiting, id)
		channel <- answer
	}
	return ok
}

// awaitAnswer waits for another daemon's answer. It returns false after the timeout or the end of
// the context.
func awaitAnswer[T any](ctx context.Context, answers <-chan T, wait time.Duration) (answer T, ok bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case answer = <-answers:
		return answer, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return answer, false
}
