package fairshare

import "time"

// minReturnTime is the shortest time after which a caller is asked to return: the time between two messages of
// daemons, so that others know its place by then.
const minReturnTime = 100 * time.Millisecond

// Service holds what a daemon knows of a service.
type Service struct {
	Shortage  Shortage
	Backlog   Backlog
	schedules map[int]*Schedule
}

// Request is what is known of a request when a runner has been chosen for it.
type Request struct {
	// Priority is the one that the configuration gives it.
	Priority int
	// Over says that its workspace is over its share, Promoted that it has returned at its time.
	Over, Promoted bool
	// Queue is the time that the runner needs for all that waits there, Own for the request's prompt.
	Queue, Own time.Duration
}

// Verdict is the decision about a request.
type Verdict struct {
	Short, Demoted bool
	// Priority is the one at the engine, Wait the expected time to the first token.
	Priority int
	Wait     time.Duration
}

// Judge decides about a request. ranked is described at Classes.EnginePriority.
func (s *Service) Judge(now time.Duration, c Classes, ranked bool, r Request) Verdict {
	v := Verdict{Short: s.Shortage.Short(now), Wait: r.Queue + r.Own}
	v.Priority, v.Demoted = c.EnginePriority(r.Priority, v.Short && r.Over && !r.Promoted, ranked)
	if v.Short {
		v.Wait = s.Backlog.Wait(v.Priority, r.Queue) + r.Own
	}
	return v
}

// schedule returns the return schedule of a class.
func (s *Service) schedule(class int) *Schedule {
	if s.schedules == nil {
		s.schedules = map[int]*Schedule{}
	}
	if s.schedules[class] == nil {
		s.schedules[class] = &Schedule{}
	}
	return s.schedules[class]
}

// Served records that the answer to a request of a class has begun.
func (s *Service) Served(now time.Duration, class int) { s.schedule(class).Served(now) }

// Return returns the time at which a request that is refused, because its first token would come too late by the time late,
// should return, and whether it has a place then: its caller honours times within honoured from now.
func (s *Service) Return(now time.Duration, class int, late, honoured time.Duration) (at time.Duration, kept bool) {
	return s.schedule(class).Next(now, now+max(late, minReturnTime), now+honoured)
}
