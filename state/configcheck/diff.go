package configcheck

import (
	"reflect"
	"slices"

	"geraniumstack.org/geraniumstack/state/route"
)

// compareConfigs reports the differences between two versions. Entries are the same if they have
// the same name; their order is ignored.
func compareConfigs(r *report, old, current *route.Config) {
	compareEntries(r, routes, "route", old.Routes, current.Routes, routeName, func(at Location, a, b *route.Route) {
		compareFields(r, routeFields(at, a), routeFields(at, b))
	})
	compareEntries(r, services, "service", old.Services, current.Services, serviceName, func(at Location, a, b *route.Service) {
		compareFields(r, serviceFields(at, a), serviceFields(at, b))
	})
	compareEntries(r, workspaces, "workspace", old.Workspaces, current.Workspaces, workspaceName, func(at Location, a, b *route.Workspace) {
		compareFields(r, workspaceFields(at, a), workspaceFields(at, b))
		compareKeys(r, at.field("Keys"), a.Keys, b.Keys)
	})
	if old.Keyless != current.Keyless {
		r.add(workspaces, Changed, "requests without a key are refused: changed from %v to %v", !old.Keyless, !current.Keyless)
	}
	compareFields(r, limitFields(limits, &old.Limits), limitFields(limits, &current.Limits))
}

// compareEntries reports the entries added and removed, and calls compareEntry for the others with
// their location in the current list. Of entries with the same name, the first is compared with the
// first, the second with the second and so on.
func compareEntries[T any](r *report, list Location, noun string, old, current []T, nameOf func(*T) string, compareEntry func(at Location, old, current *T)) {
	unmatched := map[string][]*T{}
	for i := range old {
		name := nameOf(&old[i])
		unmatched[name] = append(unmatched[name], &old[i])
	}
	for i := range current {
		at, name := list.element(i), nameOf(&current[i])
		if len(unmatched[name]) == 0 {
			r.add(at, Added, "%s %q added", noun, name)
			continue
		}
		// Most entries of a large configuration are the same in both versions, and listing their fields takes long.
		if before := unmatched[name][0]; !reflect.DeepEqual(before, &current[i]) {
			compareEntry(at, before, &current[i])
		}
		unmatched[name] = unmatched[name][1:]
	}
	for name, entries := range unmatched {
		if len(entries) > 0 {
			r.add(list, Removed, "%s %q removed", noun, name)
		}
	}
}

// compareFields reports the fields that only one of the lists contains, and those that differ. It
// sorts the lists.
func compareFields(r *report, old, current []field) {
	byLocation := func(a, b field) int { return a.at.Compare(b.at) }
	slices.SortFunc(old, byLocation)
	slices.SortFunc(current, byLocation)
	for len(old) > 0 || len(current) > 0 {
		switch order := compareFirst(old, current); {
		case order < 0:
			r.add(old[0].at, Removed, "removed, was %s", old[0].text())
			old = old[1:]
		case order > 0:
			r.add(current[0].at, Added, "set to %s", current[0].text())
			current = current[1:]
		default:
			if before, after := old[0].text(), current[0].text(); before != after {
				r.add(current[0].at, Changed, "changed from %s to %s", before, after)
			}
			old, current = old[1:], current[1:]
		}
	}
}

// compareFirst orders the first fields of two lists by location. An empty list follows all others.
func compareFirst(a, b []field) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return a[0].at.Compare(b[0].at)
	}
}

// compareKeys reports the keys added and removed. It shows only positions and numbers, since keys are
// secret.
func compareKeys(r *report, at Location, old, current []string) {
	for _, i := range positionsNotIn(current, old) {
		r.add(at.element(i), Added, "key added")
	}
	if removed := positionsNotIn(old, current); len(removed) > 0 {
		r.add(at, Removed, "%d of %d keys removed", len(removed), len(old))
	}
}

// positionsNotIn returns the positions of the keys that others doesn't contain.
func positionsNotIn(keys, others []string) []int {
	known := map[string]bool{}
	for _, key := range others {
		known[key] = true
	}
	var positions []int
	for i, key := range keys {
		if !known[key] {
			positions = append(positions, i)
		}
	}
	return positions
}
