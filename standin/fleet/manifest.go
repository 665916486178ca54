package fleet

import (
	"slices"

	"geraniumstack.org/geraniumstack/state/manifest"
)

// All stand-ins listen on the loopback address, on ports that the operating
// system chooses.
const (
	loopback     = "127.0.0.1"
	loopbackPort = loopback + ":0"
)

const defaultWeightBytes = 16_000_000_000

// FromManifest returns the settings of a fleet that already runs what a
// manifest requests. Runners use reclaimable VMs if the manifest has a
// reclaimable class for their service. All stand-ins listen on the loopback
// address.
func FromManifest(m *manifest.Manifest) Settings {
	s := Settings{
		Listen:         Listen{KeyValue: loopbackPort, Cloud: loopbackPort, Weights: loopbackPort, RunnerHost: loopback},
		FailureDomains: m.Fleet.FailureDomains,
	}
	for _, c := range m.Fleet.VMClasses {
		s.VMClasses = append(s.VMClasses, VMClass{Name: c.Name, Reclaimable: c.Reclaimable, PricePerHour: c.PricePerHour})
	}
	for _, service := range m.Services {
		s.Services = append(s.Services, Service{
			Name:          service.Name,
			Kind:          service.Kind,
			Runners:       service.Runners,
			VMClass:       classFor(m, service.Name),
			Models:        modelsFor(m, service.Name),
			ChecksFencing: service.ChecksFencing,
		})
	}
	return s
}

func classFor(m *manifest.Manifest, service string) string {
	chosen := ""
	for _, c := range m.Fleet.VMClasses {
		if len(c.Services) > 0 && !slices.Contains(c.Services, service) {
			continue
		}
		if chosen == "" || c.Reclaimable {
			chosen = c.Name
		}
	}
	return chosen
}

func modelsFor(m *manifest.Manifest, service string) []Model {
	var models []Model
	for _, model := range m.Models {
		if model.Service != service {
			continue
		}
		modelSettings := Model{Name: model.Name, Version: model.Version, Bytes: defaultWeightBytes}
		for _, a := range model.Adapters {
			modelSettings.Adapters = append(modelSettings.Adapters, a.Name+"@"+a.Version)
		}
		models = append(models, modelSettings)
	}
	return models
}
