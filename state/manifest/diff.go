package manifest

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Change is one difference between two manifests.
type Change struct {
	// Path is a JSON pointer in which list elements are identified by their
	// names instead of their indexes.
	Path string
	// Before and After are the JSON values. A value that does not exist is
	// empty.
	Before string
	After  string
}

// Diff returns the differences between two manifests, sorted by path. A nil
// manifest counts as empty. The order of named list elements is ignored.
func Diff(before, after *Manifest) ([]Change, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	current, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for path, value := range old {
		if current[path] != value {
			changes = append(changes, Change{Path: path, Before: value, After: current[path]})
		}
	}
	for path, value := range current {
		if _, known := old[path]; !known {
			changes = append(changes, Change{Path: path, After: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes, nil
}

// flatten returns the JSON of every scalar, and of every list of unnamed
// elements, by path.
func flatten(m *Manifest) (map[string]string, error) {
	flat := map[string]string{}
	if m == nil {
		return flat, nil
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode manifest: %w", err)
	}
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		return nil, fmt.Errorf("decode manifest: %w", err)
	}
	return flat, flattenInto(flat, "", value)
}

func flattenInto(flat map[string]string, path string, value any) error {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			if err := flattenInto(flat, path+"/"+escapePointer(key), inner); err != nil {
				return err
			}
		}
		return nil
	case []any:
		if allElementsNamed(v) {
			return flattenNamed(flat, path, v)
		}
	}
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode value at %s: %w", path, err)
	}
	flat[path] = string(data)
	return nil
}

func flattenNamed(flat map[string]string, path string, list []any) error {
	for _, element := range list {
		object := element.(map[string]any)
		if err := flattenInto(flat, path+"/"+escapePointer(elementName(object)), object); err != nil {
			return err
		}
	}
	return nil
}

func allElementsNamed(list []any) bool {
	for _, element := range list {
		object, ok := element.(map[string]any)
		if !ok || elementName(object) == "" {
			return false
		}
	}
	return len(list) > 0
}

// elementName returns the name of a list element. The name of a route is its
// method and path.
func elementName(object map[string]any) string {
	if name, ok := object["name"].(string); ok {
		return name
	}
	method, _ := object["method"].(string)
	path, _ := object["path"].(string)
	return strings.TrimSpace(method + " " + path)
}

// escapePointer escapes a name for use as one part of a JSON pointer.
func escapePointer(part string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(part)
}
