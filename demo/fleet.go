package demo

import (
	"fmt"
	"strings"

	"geraniumstack.org/geraniumstack/examples"
	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// Fleet is one of the example fleets, with the requests that the demo sends to it.
type Fleet struct {
	Name     string
	Data     []byte
	Manifest *manifest.Manifest
	// keyPrefix is the start of the example bearer keys; the workspace name follows
	// it.
	keyPrefix string
	// The model, service tiers, service and paths that the demo's requests use.
	model        string
	interactive  string
	long         string
	plainService string
	actionPath   string
	readPath     string
}

// UnknownFleetError reports a fleet name that has no example manifest.
type UnknownFleetError struct{ Name string }

func (e *UnknownFleetError) Error() string {
	return fmt.Sprintf("no fleet %q: huaman or aspen-coulee", e.Name)
}

// Fleets lists the names that FleetNamed accepts.
var Fleets = []string{"huaman", "aspen-coulee"}

// FleetNamed loads the example manifest of a fleet.
func FleetNamed(name string) (*Fleet, error) {
	var f *Fleet
	switch name {
	case Fleets[0]:
		f = &Fleet{
			Data: examples.Huaman, keyPrefix: "huaman-key-", model: "asistente",
			interactive: "chat", long: "bulletins",
			plainService: "casos", actionPath: "/pledges", readPath: "/cases/1",
		}
	case Fleets[1]:
		f = &Fleet{
			Data: examples.AspenCoulee, keyPrefix: "aspen-key-", model: "geranium-llm",
			interactive: "chat", long: "reviews",
			plainService: "broker-app", actionPath: "/bookings", readPath: "/status/1",
		}
	default:
		return nil, &UnknownFleetError{Name: name}
	}
	f.Name = name
	f.Manifest = &manifest.Manifest{}
	if err := document.Decode(f.Data, f.Manifest); err != nil {
		return nil, fmt.Errorf("manifest of %s: %w", name, err)
	}
	return f, nil
}

func (f *Fleet) key(ws ident.Workspace) string { return f.keyPrefix + string(ws) }

// modelService returns the service that serves the demo's model.
func (f *Fleet) modelService() string { return f.Manifest.ModelNamed(f.model).Service }

// gatewayDomain assigns gateways to the fleet's failure domains in turn.
func (f *Fleet) gatewayDomain(i int) ident.FailureDomain {
	domains := f.Manifest.Fleet.FailureDomains
	return domains[i%len(domains)]
}

// className returns a VM class of a service, reclaimable or not as asked. Without such
// a class it returns the manifest's first class.
func (f *Fleet) className(service string, reclaimable bool) string {
	for _, c := range f.Manifest.Fleet.VMClasses {
		if c.Reclaimable == reclaimable && strings.Contains(strings.Join(c.Services, ","), service) {
			return c.Name
		}
	}
	return f.Manifest.Fleet.VMClasses[0].Name
}
