package demo

import (
	"fmt"
	"strings"

	"geraniumstack.org/geraniumstack/examples"
	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// Fleet is one of the users' fleets as the demo runs it.
type Fleet struct {
	Name     string
	Data     []byte
	Manifest *manifest.Manifest
	// keyPrefix begins the example bearer keys; the workspace follows.
	keyPrefix string
	// Model and the classes of the work that the demo sends.
	model        string
	interactive  string
	long         string
	plainService string
	actionPath   string
	readPath     string
}

// UnknownFleetError says that there is no example of that name.
type UnknownFleetError struct{ Name string }

func (e *UnknownFleetError) Error() string {
	return fmt.Sprintf("no fleet %q: huaman or aspen-coulee", e.Name)
}

// Fleets are the names that FleetNamed knows.
var Fleets = []string{"huaman", "aspen-coulee"}

// FleetNamed reads one of the example manifests.
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

// modelService is the service that serves the demo's model.
func (f *Fleet) modelService() string { return f.Manifest.ModelNamed(f.model).Service }

// gatewayDomain spreads five gateways over the fleet's failure domains.
func (f *Fleet) gatewayDomain(i int) ident.FailureDomain {
	domains := f.Manifest.Fleet.FailureDomains
	return domains[i%len(domains)]
}

// className picks the VM class of a service by whether it can be reclaimed.
func (f *Fleet) className(service string, reclaimable bool) string {
	for _, c := range f.Manifest.Fleet.VMClasses {
		if c.Reclaimable == reclaimable && strings.Contains(strings.Join(c.Services, ","), service) {
			return c.Name
		}
	}
	return f.Manifest.Fleet.VMClasses[0].Name
}
