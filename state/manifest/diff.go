package manifest

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Change is one difference between two manifests.
type Change struct {
	// Path is a JSON pointer in which the elements of lists go by their names.
	Path string
	// Before and After are JSON; empty where there is no such value.
	Before string
	After  string
}

// Diff lists what differs, sorted by path. Either manifest may be nil, which is
// an empty one. The order of named elements makes no difference.
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

// flatten maps the path of every scalar, and of every list of scalars, to its
// JSON.
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

// elementName returns an element's name; a route goes by its method and path.
func elementName(object map[string]any) string {
	if name, ok := object["name"].(string); ok {
		return name
	}
	method, _ := object["method"].(string)
	path, _ := object["path"].(string)
	return strings.TrimSpace(method + " " + path)
}

// escapePointer writes a name as one part of a JSON pointer.
func escapePointer(part string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(part)
}
