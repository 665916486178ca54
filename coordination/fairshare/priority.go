package fairshare

import "slices"

const (
	// LastPriority is the least urgent priority that engines know; 0 is the most urgent.
	LastPriority = 9
	// maxClasses is the number of classes up to which requests are demoted: each takes two of the engines' priorities.
	maxClasses = (LastPriority + 1) / 2
)

// Classes are the priorities that the configuration sets for a service.
type Classes struct {
	priorities []int
	// roomy says that the number after each class is none of another class.
	roomy bool
}

// NewClasses returns the classes for priorities in any order. Negative ones aren't told to engines, and engines take those
// beyond LastPriority for it.
func NewClasses(priorities []int) Classes {
	c := Classes{roomy: true}
	for _, p := range priorities {
		if p >= 0 {
			c.priorities = append(c.priorities, min(p, LastPriority))
		}
	}
	slices.Sort(c.priorities)
	c.priorities = slices.Compact(c.priorities)
	for _, p := range c.priorities {
		c.roomy = c.roomy && p < LastPriority && !slices.Contains(c.priorities, p+1)
	}
	return c
}

// EnginePriority returns the engine priority of a request, and whether it is demoted by it: behind its class, and
// ahead of the next one. ranked says that all daemons number the classes by rank if the configuration leaves no room
// between them. Otherwise each request keeps the priority that the configuration gives it, as at daemons
// that know of no demotion, and is demoted only if the next number is free.
func (c Classes) EnginePriority(priority int, demote, ranked bool) (engine int, demoted bool) {
	rank := slices.Index(c.priorities, min(priority, LastPriority))
	if rank < 0 || len(c.priorities) > maxClasses {
		return priority, false
	}
	if ranked && !c.roomy {
		if demote {
			return 2*rank + 1, true
		}
		return 2 * rank, false
	}
	if demote && priority < LastPriority && !slices.Contains(c.priorities, priority+1) {
		return priority + 1, true
	}
	return priority, false
}
