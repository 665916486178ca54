package manifest_test

import (
	"encoding/json"
	"errors"
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/manifest"
)

var update = flag.Bool("update", false, "write docs/manifest.schema.json anew")

const schemaFile = "../../docs/manifest.schema.json"

func loadExample(t *testing.T, name string) *manifest.Manifest {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	m, err := manifest.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestExamplesHaveExpectedSizes(t *testing.T) {
	is := is.New(t)
	sizes := map[string]map[string]int{
		"huaman":       {"asistente": 12, "casos": 4},
		"aspen-coulee": {"geranium-llm": 18, "broker-app": 4},
	}
	for name, services := range sizes {
		m := loadExample(t, name)
		is.Equal(len(m.Workspaces), 5)
		is.Equal(len(m.Fleet.FailureDomains), 4)
		got := map[string]int{}
		for _, s := range m.Services {
			got[s.Name] = s.Runners
		}
		is.Equal(got, services)
	}
}

func TestPublishedSchemaIsUpToDate(t *testing.T) {
	is := is.New(t)
	schema, err := document.Schema(&manifest.Manifest{})
	is.NoErr(err)
	schema = append(schema, '\n')
	if *update {
		is.NoErr(os.WriteFile(schemaFile, schema, 0o644))
	}
	published, err := os.ReadFile(schemaFile)
	is.NoErr(err)
	is.Equal(string(published), string(schema)) // go test ./state/manifest -update
}

func TestCheckReportsEveryContradiction(t *testing.T) {
	is := is.New(t)
	m := loadExample(t, "huaman")
	m.Models[0].Service = "casos"
	m.Models = append(m.Models, manifest.Model{Name: "asistente", Version: "1", Service: "nobody"})
	m.Models[0].Canary = &manifest.Canary{Version: m.Models[0].Version, Share: 0.1}
	m.Services[1].Routes[3].OutagePolicy = ""
	m.Services[1].Role = "decode"
	m.Services[1].Routes[0].Class = "nothing"
	m.Services[1].Routes[1] = m.Services[1].Routes[0]
	m.Workspaces[1].KeyHashes[0] = m.Workspaces[0].KeyHashes[0]
	m.Workspaces[2].KeyHashes[0] = "ABC"
	m.Classes[1].Name = m.Classes[0].Name
	m.Classes[2].DeadlineMillis = 1
	m.Fleet.VMClasses[0].Services = []string{"elsewhere"}
	m.Fleet.MaxCostPerHour = 1
	m.Fleet.FailureDomains = m.Fleet.FailureDomains[:1]
	paths := map[string]bool{}
	for _, p := range m.Check() {
		paths[p.Path] = true
	}
	for _, want := range []string{
		"/models/0/service", "/models/1/name", "/models/1/service", "/models/0/canary/version",
		"/services/0", "/services/1/routes/3/outage_policy", "/services/1/routes/0/class", "/services/1/role",
		"/services/1/routes/1/path", "/workspaces/1/key_hashes/0", "/workspaces/2/key_hashes/0",
		"/classes/1/name", "/classes/2/deadline_ms", "/fleet/vm_classes/0/services/0",
		"/fleet/max_cost_per_hour", "/fleet/survive_domain_loss",
	} {
		if !paths[want] {
			t.Errorf("no problem at %s in %v", want, paths)
		}
	}
	is.Equal(len(loadExample(t, "aspen-coulee").Check()), 0)
}

func TestUnsupportedFormatIsReported(t *testing.T) {
	is := is.New(t)
	_, err := manifest.Decode([]byte(`{"format":"geraniumstack/v9"}`))
	var unsupported *manifest.UnsupportedFormatError
	is.True(errors.As(err, &unsupported))
	_, err = manifest.Decode([]byte(`[]`))
	var invalid *document.InvalidError
	is.True(errors.As(err, &invalid))
}

func TestSectionsJoinToTheSameManifest(t *testing.T) {
	is := is.New(t)
	m := loadExample(t, "huaman")
	sections, err := manifest.Split(m)
	is.NoErr(err)
	data := map[manifest.Hash][]byte{}
	for _, s := range sections {
		data[s.Hash] = s.Data
	}
	joined, err := manifest.Join(manifest.Hashes(sections), data)
	is.NoErr(err)
	before, err := json.Marshal(m)
	is.NoErr(err)
	after, err := json.Marshal(joined)
	is.NoErr(err)
	is.Equal(string(after), string(before))

	m.Workspaces[0].Weight = 9
	changed, err := manifest.Split(m)
	is.NoErr(err)
	is.Equal(len(manifest.Missing(manifest.Hashes(changed), data)), 1) // only one section is new

	data[sections[0].Hash] = append([]byte(" "), data[sections[0].Hash]...)
	_, err = manifest.Join(manifest.Hashes(sections), data)
	var corrupt *manifest.CorruptSectionError
	is.True(errors.As(err, &corrupt))
}

func TestDiffMatchesElementsByName(t *testing.T) {
	is := is.New(t)
	before, after := loadExample(t, "huaman"), loadExample(t, "huaman")
	after.Workspaces[0], after.Workspaces[1] = after.Workspaces[1], after.Workspaces[0]
	changes, err := manifest.Diff(before, after)
	is.NoErr(err)
	is.Equal(len(changes), 0)
	after.Workspaces[0].Weight = 7
	after.Services[1].Routes[3].OutagePolicy = manifest.OutageRefuse
	changes, err = manifest.Diff(before, after)
	is.NoErr(err)
	is.Equal(changes, []manifest.Change{
		{Path: "/services/casos/routes/POST ~1pledges/outage_policy", Before: `"run"`, After: `"refuse"`},
		{Path: "/workspaces/shelters/weight", Before: "3", After: "7"},
	})
}
