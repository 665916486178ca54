package configcheck_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/configcheck"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
)

// clean returns a configuration in which every field is set and nothing is wrong.
func clean() *route.Config {
	return &route.Config{
		Version: 7,
		Routes: []route.Route{
			{Name: "draft", Host: "a.example", PathPrefix: "/draft/", Kind: route.Stream, Targets: []route.Target{{Service: "llm", Weight: 1}, {Service: "app"}},
				Timeout: 10 * time.Second, TargetLatency: time.Second, MaxPause: 400 * time.Millisecond, MaxAttempts: 9, Priority: 1, Public: true, Resumable: true},
			{Name: "pledge", Host: "a.example", PathPrefix: "/pledge/", Kind: route.AtMostOnce, Targets: []route.Target{{Service: "app", Weight: 1}}, MaxAttempts: 2},
		},
		Services: []route.Service{
			{Name: "llm", HealthPath: "/healthz", Engine: &route.Engine{Slots: 64, KVTokens: 1000, CacheFetchRate: 10},
				Scaling: &route.Scaling{Min: 1, Max: 6, BootTime: time.Second, ReclaimablePriceRatio: 0.2, Prices: map[ident.FailureDomain]float64{"north": 1}}},
			{Name: "app"},
		},
		Workspaces: []route.Workspace{
			{Name: "shelter", Keys: []string{"secret-1", "secret-2"}, Priority: 2, HasPriority: true, Quota: route.Quota{PerSecond: 500, Burst: 300, InTokens: true, PlainTokens: 200}},
			{Name: "farm", Keys: []string{"secret-3"}, HasPriority: true},
		},
		Limits: route.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1},
	}
}

func TestCleanConfigurationHasNoFindings(t *testing.T) {
	is := is.New(t)
	is.Equal(len(configcheck.Check(clean(), nil)), 0)
	older := clean()
	older.Version--
	is.Equal(len(configcheck.Check(clean(), older)), 0)
}

// describe returns the location, severity and kind of each finding. A message must not show a key.
func describe(t *testing.T, findings []configcheck.Finding) string {
	lines := make([]string, 0, len(findings))
	for _, f := range findings {
		if strings.Contains(f.Message, "secret") {
			t.Errorf("%v: a key is shown: %s", f.Location, f.Message)
		}
		lines = append(lines, fmt.Sprintf("%v %v %s", f.Location, f.Severity, f.Kind))
	}
	return strings.Join(lines, "; ")
}

// Each mistake must be found at its place, once, and cause no other finding.
func TestMistakes(t *testing.T) {
	for _, c := range []struct {
		want    string
		mistake func(c *route.Config)
	}{
		{"Routes[0].Name error missing_name", func(c *route.Config) { c.Routes[0].Name = "" }},
		{"Routes[1].Name error duplicate_name", func(c *route.Config) { c.Routes[1].Name = "draft" }},
		{"Services[1].Name error duplicate_name", func(c *route.Config) {
			c.Services[1].Name, c.Routes[0].Targets, c.Routes[1].Targets[0].Service = "llm", c.Routes[0].Targets[:1], "llm"
		}},
		{"Workspaces[1].Name error duplicate_name", func(c *route.Config) { c.Workspaces[1].Name = "shelter" }},
		{"Routes[0].Kind error unknown_kind", func(c *route.Config) { c.Routes[0].Kind = "" }},
		{"Routes[0].Targets[1].Service error unknown_service", func(c *route.Config) { c.Routes[0].Targets[1].Service = "apps" }},
		{"Routes[0].Targets[1].Service error missing_name", func(c *route.Config) { c.Routes[0].Targets[1].Service = "" }},
		{"Routes[0].Targets[1].Weight error bad_weight", func(c *route.Config) { c.Routes[0].Targets[1].Weight = -1 }},
		{"Routes[0].Targets error bad_weight", func(c *route.Config) { c.Routes[0].Targets[0].Weight = 0 }},
		{"Routes[1].Timeout error bad_time", func(c *route.Config) { c.Routes[1].Timeout = -1 }},
		{"Services[0].Scaling.BootTime error bad_time", func(c *route.Config) { c.Services[0].Scaling.BootTime = -1 }},
		{"Limits.IdleTimeout error bad_time", func(c *route.Config) { c.Limits.IdleTimeout = -1 }},
		{"Limits.MaxBodyBytes error bad_number", func(c *route.Config) { c.Limits.MaxBodyBytes = -1 }},
		{"Routes[1].MaxAttempts error bad_number", func(c *route.Config) { c.Routes[1].MaxAttempts = -1 }},
		{"Services[0].Engine.CacheFetchRate error bad_number", func(c *route.Config) { c.Services[0].Engine.CacheFetchRate = -1 }},
		{`Services[0].Scaling.Prices["north"] error bad_number`, func(c *route.Config) { c.Services[0].Scaling.Prices["north"] = -1 }},
		{"Routes warning no_routes", func(c *route.Config) { c.Routes, c.Services = nil, nil }},
		{"Routes[0].Host warning unreachable_route", func(c *route.Config) { c.Routes[0].Host = "" }},
		{"Routes[0].PathPrefix warning unreachable_route", func(c *route.Config) { c.Routes[0].PathPrefix = "draft/" }},
		{"Routes[1].PathPrefix warning hidden_route", func(c *route.Config) { c.Routes[1].Host, c.Routes[1].PathPrefix = "A.EXAMPLE", "/draft/" }},
		{"Services[1] warning unused_service", func(c *route.Config) { c.Routes = c.Routes[:1]; c.Routes[0].Targets = c.Routes[0].Targets[:1] }},
		{"Workspaces[1].Keys warning no_key", func(c *route.Config) { c.Workspaces[1].Keys = nil }},
		{"Workspaces[1].Keys[0] warning no_key", func(c *route.Config) { c.Workspaces[1].Keys[0] = "" }},
		{"Workspaces[0].Keys[1] warning shared_key", func(c *route.Config) { c.Workspaces[1].Keys[0] = "secret-2" }},
		{"Routes[0].TargetLatency warning contradictory_limits", func(c *route.Config) { c.Routes[0].TargetLatency = 11 * time.Second }},
		{"Routes[0].MaxPause warning contradictory_limits", func(c *route.Config) { c.Routes[0].MaxPause = 11 * time.Second }},
		{"Routes[1].MaxAttempts warning contradictory_limits", func(c *route.Config) { c.Routes[1].MaxAttempts = 5 }},
		{"Routes[0].MaxAttempts warning contradictory_limits", func(c *route.Config) { c.Routes[0].Resumable = false }},
		{"Services[0].Scaling.Max warning contradictory_limits", func(c *route.Config) { c.Services[0].Scaling.Min = 7 }},
		{"Workspaces[0].Quota.Burst warning contradictory_limits", func(c *route.Config) { c.Workspaces[0].Quota.Burst = 199 }},
		{"Workspaces[0].Quota.PerSecond warning contradictory_limits", func(c *route.Config) { c.Workspaces[0].Quota.PerSecond = 199 }},
		{"Workspaces[1].Quota.Burst warning contradictory_limits", func(c *route.Config) { c.Workspaces[1].Quota = route.Quota{PerSecond: 0.1, Burst: 0.9} }},
		{"Workspaces[1].Quota.Burst warning contradictory_limits", func(c *route.Config) { c.Workspaces[1].Quota.Burst = 1 }},
		{"Version warning stale_version", func(c *route.Config) { c.Version = 0 }},
	} {
		config := clean()
		c.mistake(config)
		if got := describe(t, configcheck.Check(config, nil)); got != c.want {
			t.Errorf("found %s, want %s", got, c.want)
		}
	}
}

func TestDifferences(t *testing.T) {
	for _, c := range []struct {
		want   string
		change func(c *route.Config)
	}{
		{"Routes[2] difference added", func(c *route.Config) {
			r := c.Routes[1]
			r.Name, r.PathPrefix = "new", "/new/"
			c.Routes = append(c.Routes, r)
		}},
		{"Routes difference removed", func(c *route.Config) { c.Routes = c.Routes[:1] }},
		{"Routes difference removed; Routes[1] difference added", func(c *route.Config) { c.Routes[1].Name = "renamed" }},
		{"", func(c *route.Config) { slices.Reverse(c.Routes) }},
		{"Routes[0].Targets difference changed", func(c *route.Config) { c.Routes[0].Targets[0].Weight = 2 }},
		{"Services[2] warning unused_service; Services[2] difference added", func(c *route.Config) { c.Services = append(c.Services, route.Service{Name: "new"}) }},
		{"Services[0].Engine.CacheFetchRate difference removed; Services[0].Engine.KVTokens difference removed; Services[0].Engine.Slots difference removed", func(c *route.Config) { c.Services[0].Engine = nil }},
		{"Workspaces[0].Keys difference removed; Workspaces[0].Keys[1] difference added", func(c *route.Config) { c.Workspaces[0].Keys = []string{"secret-2", "secret-4"} }},
		{"Workspaces[1].Priority difference removed", func(c *route.Config) { c.Workspaces[1].HasPriority = false }},
		{"Workspaces difference removed", func(c *route.Config) { c.Workspaces = c.Workspaces[:1] }},
		{`Services[0].Scaling.Prices["north"] difference removed; Services[0].Scaling.Prices["south"] difference added`, func(c *route.Config) {
			c.Services[0].Scaling.Prices = map[ident.FailureDomain]float64{"south": 1}
		}},
		{"Version warning stale_version", func(c *route.Config) { c.Version = 6 }},
	} {
		old, config := clean(), clean()
		old.Version = 6
		c.change(config)
		if got := describe(t, configcheck.Check(config, old)); got != c.want {
			t.Errorf("found %s, want %s", got, c.want)
		}
	}
}

// A field that is added to route.Config must be compared as well.
func TestEveryFieldIsCompared(t *testing.T) {
	isDifference := func(f configcheck.Finding) bool { return f.Severity == configcheck.Difference }
	for changed := 0; ; changed++ {
		config, left := clean(), changed
		name, ok := changeField(reflect.ValueOf(config).Elem(), "", &left)
		if !ok {
			break
		}
		if name != ".Version" && !slices.ContainsFunc(configcheck.Check(config, clean()), isDifference) {
			t.Errorf("a change of %s is not found", name)
		}
	}
}

// changeField changes one of the fields of v and of its parts, the one before which there are *left
// others, and returns its name.
func changeField(v reflect.Value, name string, left *int) (string, bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return "", false
		}
		return changeField(v.Elem(), name, left)
	case reflect.Struct:
		for i := range v.NumField() {
			if found, ok := changeField(v.Field(i), name+"."+v.Type().Field(i).Name, left); ok {
				return found, true
			}
		}
		return "", false
	case reflect.Slice:
		for i := range v.Len() {
			if found, ok := changeField(v.Index(i), fmt.Sprintf("%s[%d]", name, i), left); ok {
				return found, true
			}
		}
		return "", false
	}
	*left--
	if *left >= 0 {
		return "", false
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	case reflect.Uint64:
		v.SetUint(v.Uint() - 1)
	case reflect.Map:
		v.SetMapIndex(reflect.ValueOf(ident.FailureDomain("north")), reflect.ValueOf(2.0))
	default:
		v.SetInt(v.Int() + 1)
	}
	return name, true
}

// Findings must be sorted by location without duplicates whatever the configuration, and a
// configuration must not differ from itself.
func TestFindingsAreSortedAndUnique(t *testing.T) {
	name := rapid.SampledFrom([]string{"", "a", "b"})
	target := rapid.Custom(func(t *rapid.T) route.Target {
		return route.Target{Service: name.Draw(t, "service"), Weight: rapid.IntRange(-1, 1).Draw(t, "weight")}
	})
	r := rapid.Custom(func(t *rapid.T) route.Route {
		return route.Route{Name: name.Draw(t, "name"), Host: name.Draw(t, "host"), PathPrefix: name.Draw(t, "prefix"), Targets: rapid.SliceOfN(target, 0, 3).Draw(t, "targets")}
	})
	w := rapid.Custom(func(t *rapid.T) route.Workspace {
		return route.Workspace{Name: ident.Workspace(name.Draw(t, "name")), Keys: rapid.SliceOfN(name, 0, 3).Draw(t, "keys")}
	})
	config := rapid.Custom(func(t *rapid.T) *route.Config {
		return &route.Config{Routes: rapid.SliceOfN(r, 0, 12).Draw(t, "routes"), Workspaces: rapid.SliceOfN(w, 0, 3).Draw(t, "workspaces"),
			Services: []route.Service{{Name: name.Draw(t, "service")}}}
	})
	rapid.Check(t, func(t *rapid.T) {
		c := config.Draw(t, "config")
		findings := configcheck.Check(c, config.Draw(t, "in force"))
		for i := 1; i < len(findings); i++ {
			a, b := findings[i-1], findings[i]
			if order := a.Location.Compare(b.Location); order > 0 || order == 0 && a.Kind == b.Kind && a.Message == b.Message {
				t.Fatalf("%v after %v", b, a)
			}
		}
		for _, f := range configcheck.Check(c, c) {
			if f.Severity == configcheck.Difference {
				t.Fatalf("the configuration differs from itself: %v", f)
			}
		}
	})
}

// The number of attempts that make sense is the retry policy's, which package configcheck can't
// import.
func TestAttemptsAreThoseOfRetryPolicy(t *testing.T) {
	is := is.New(t)
	c := clean()
	c.Routes[1].MaxAttempts = retry.Default().MaxAttempts
	is.Equal(len(configcheck.Check(c, nil)), 0)
	c.Routes[1].MaxAttempts++
	is.Equal(len(configcheck.Check(c, nil)), 1)
}

// Guards against a configuration that lets requests in without a key, or refuses all that need one, and of which nothing is
// found.
func TestMissingAndEmptyListsOfWorkspacesAreFound(t *testing.T) {
	is := is.New(t)
	empty := clean()
	empty.Workspaces = nil
	is.Equal(describe(t, configcheck.Check(empty, nil)), "Workspaces warning no_key")
	missing := clean()
	missing.Workspaces, missing.Keyless, missing.Version = nil, true, 8
	is.Equal(describe(t, configcheck.Check(missing, nil)), "Workspaces warning no_key")
	is.Equal(describe(t, configcheck.Check(missing, empty)), "Workspaces warning no_key; Workspaces difference changed")
	unreachable := clean()
	unreachable.Routes[1].PathPrefix = ""
	is.Equal(describe(t, configcheck.Check(unreachable, nil)), "Routes[1].PathPrefix warning unreachable_route")
}
