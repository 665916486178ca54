package fairshare

import "slices"

const (
	// LastPriority is the least urgent priority that engines know; 0 is the most urgent.
	LastPriority = 9
	// maxClasses is the number of classes up to which requests are demoted: with more of them, too few of the
	// engines' priorities lie between two classes.
	maxClasses = 5
)

// Classes are the priorities of a service that the configuration sets.
type Classes struct{ priorities []int }

// NewClasses returns the classes for priorities in any order.
func NewClasses(priorities []int) Classes {
	c := Classes{slices.Clone(priorities)}
	slices.Sort(c.priorities)
	c.priorities = slices.Compact(c.priorities)
	return c
}

// Demoted returns the engine priority of a demoted request of a class, and false if its class can't be demoted.
//
// It is the number after the class's own: behind the class, and ahead of the next one unless that has just this
// number. In that case the two are served in the order of their arrival. Renumbering the classes would avoid that,
// but daemons renumber at different moments, and those of an earlier version don't: requests that aren't demoted
// would change their order meanwhile.
func (c Classes) Demoted(priority int) (int, bool) {
	if len(c.priorities) > maxClasses || priority < 0 || priority >= LastPriority || !slices.Contains(c.priorities, priority) {
		return priority, false
	}
	return priority + 1, true
}
