package manifest

import (
	"strings"

	"geraniumstack.org/geraniumstack/state/ident"
)

// ServiceNamed returns the service with the name, or nil.
func (m *Manifest) ServiceNamed(name string) *Service {
	for i := range m.Services {
		if m.Services[i].Name == name {
			return &m.Services[i]
		}
	}
	return nil
}

// ModelNamed returns the model with the name, or nil.
func (m *Manifest) ModelNamed(name string) *Model {
	for i := range m.Models {
		if m.Models[i].Name == name {
			return &m.Models[i]
		}
	}
	return nil
}

// ClassNamed returns the class with the name, or nil.
func (m *Manifest) ClassNamed(name string) *Class {
	for i := range m.Classes {
		if m.Classes[i].Name == name {
			return &m.Classes[i]
		}
	}
	return nil
}

// WorkspaceNamed returns the workspace with the name, or nil.
func (m *Manifest) WorkspaceNamed(name ident.Workspace) *Workspace {
	for i := range m.Workspaces {
		if m.Workspaces[i].Name == name {
			return &m.Workspaces[i]
		}
	}
	return nil
}

// RouteFor returns the route whose path is the longest that matches a call, or
// nil. A path matches itself and all paths below it, at segment boundaries
// only.
func (s *Service) RouteFor(method, path string) *Route {
	var best *Route
	for i := range s.Routes {
		r := &s.Routes[i]
		if r.Method != method || !covers(r.Path, path) {
			continue
		}
		if best == nil || len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best
}

func covers(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
