package overload

import "time"

// fairness is Jain's index of the engine time that each workspace got, divided by its
// fair share. It is 1 if all workspaces got the same fraction of their share, and 1/n
// if one of n got everything. It is undefined if no request was served.
func fairness(all []*request, end time.Time) (float64, bool) {
	list := tenants()
	got := make([]float64, len(list))
	demand := make([]float64, len(list))
	total := 0.0
	for _, q := range all {
		demand[q.tenant] += q.kind.cost() * float64(q.output) / float64(q.kind.output)
		w := q.workUntil(end)
		got[q.tenant] += w
		total += w
	}
	if total == 0 {
		return 0, false
	}
	fair := maxMin(list, demand, total)
	sum, squares := 0.0, 0.0
	for i := range got {
		x := got[i] / fair[i]
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(got)) * squares), true
}

// workUntil is the engine time that a request took before end.
func (q *request) workUntil(end time.Time) float64 {
	w := q.work()
	if q.first.IsZero() || q.first.After(end) {
		return 0
	}
	if q.done.IsZero() || q.done.After(end) {
		whole := time.Duration(q.tokens) * step
		if part := end.Sub(q.first); part < whole {
			w *= part.Seconds() / whole.Seconds()
		}
	}
	return w
}

// maxMin divides total by weight (max-min fairness). A workspace that demands less
// than its share gets its demand, and the remainder is divided among the others.
func maxMin(list []tenant, demand []float64, total float64) []float64 {
	fair := make([]float64, len(list))
	settled := make([]bool, len(list))
	for {
		weight, left := 0.0, total
		for i := range list {
			if settled[i] {
				left -= fair[i]
			} else {
				weight += list[i].Weight
			}
		}
		changed := false
		for i := range list {
			if settled[i] {
				continue
			}
			fair[i] = left * list[i].Weight / weight
			if demand[i] <= fair[i] {
				fair[i], settled[i], changed = demand[i], true, true
			}
		}
		if !changed {
			return fair
		}
	}
}
