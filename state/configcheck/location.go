package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Location is the path from a route.Config to one of its parts, by the names of Go fields. Package
// platform translates these into the names in the operator's document.
type Location []Step

// Step leads from a value to one of its parts.
type Step struct {
	Kind StepKind
	// Name is the field's name or the map's key.
	Name string
	// Index is the position in the list.
	Index int
}

// StepKind is the kind of a step.
type StepKind int

// Kinds of steps.
const (
	// Field leads to a field of a struct.
	Field StepKind = iota
	// Element leads to an element of a list.
	Element
	// Value leads to the value of a map's key.
	Value
)

func (l Location) field(name string) Location {
	return append(slices.Clip(l), Step{Kind: Field, Name: name})
}

func (l Location) element(i int) Location {
	return append(slices.Clip(l), Step{Kind: Element, Index: i})
}

func (l Location) value(key string) Location {
	return append(slices.Clip(l), Step{Kind: Value, Name: key})
}

// Compare orders locations by field names, positions and keys. A value precedes its parts.
func (l Location) Compare(other Location) int {
	return slices.CompareFunc(l, other, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Index, b.Index))
	})
}

// String returns the location as a Go expression, e.g. Routes[3].PathPrefix.
func (l Location) String() string {
	var text strings.Builder
	for _, step := range l {
		switch step.Kind {
		case Element:
			fmt.Fprintf(&text, "[%d]", step.Index)
		case Value:
			fmt.Fprintf(&text, "[%q]", step.Name)
		default:
			if text.Len() > 0 {
				text.WriteByte('.')
			}
			text.WriteString(step.Name)
		}
	}
	return text.String()
}
