package manifest

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/ident"
)

// keyHashBytes is the length of a SHA-256 hash.
const keyHashBytes = 32

// checker collects the contradictions of one manifest.
type checker struct {
	m        *Manifest
	services map[string]Kind
	classes  map[string]bool
	problems []document.Problem
}

// Check implements document.Checker: it returns every contradiction between the
// manifest's parts, with its JSON path, in the order of the parts.
func (m *Manifest) Check() []document.Problem {
	c := &checker{m: m, services: map[string]Kind{}, classes: map[string]bool{}}
	for _, s := range m.Services {
		c.services[s.Name] = s.Kind
	}
	for _, class := range m.Classes {
		c.classes[class.Name] = true
	}
	c.format()
	c.models()
	c.allServices()
	c.workspaces()
	c.allClasses()
	c.fleet()
	return c.problems
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, document.Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// unique reports every name that stands twice among list's elements.
func (c *checker) unique(list, field string, names []string) {
	first := map[string]int{}
	for i, name := range names {
		if j, ok := first[name]; ok {
			c.add(strings.TrimSuffix(at(list, i)+"/"+field, "/"), "%q is taken by %s", name, at(list, j))
			continue
		}
		first[name] = i
	}
}

func at(list string, i int) string { return list + "/" + strconv.Itoa(i) }

func names[T any](list []T, name func(T) string) []string {
	all := make([]string, 0, len(list))
	for _, v := range list {
		all = append(all, name(v))
	}
	return all
}

func (c *checker) format() {
	if c.m.Format != Format {
		c.add("/format", "is %q, not %q", c.m.Format, Format)
	}
}

func (c *checker) models() {
	c.unique("/models", "name", names(c.m.Models, func(m Model) string { return m.Name }))
	for i, model := range c.m.Models {
		path := at("/models", i)
		kind, known := c.services[model.Service]
		switch {
		case !known:
			c.add(path+"/service", "there is no service %q", model.Service)
		case kind != KindModel:
			c.add(path+"/service", "service %q is of kind %q, not %q", model.Service, kind, KindModel)
		}
		c.unique(path+"/adapters", "name", names(model.Adapters, func(a Adapter) string { return a.Name }))
		if model.Canary != nil && model.Canary.Version == model.Version {
			c.add(path+"/canary/version", "is the version %q that the model has anyway", model.Version)
		}
	}
}

func (c *checker) allServices() {
	c.unique("/services", "name", names(c.m.Services, func(s Service) string { return s.Name }))
	served := map[string]bool{}
	for _, model := range c.m.Models {
		served[model.Service] = true
	}
	for i, service := range c.m.Services {
		path := at("/services", i)
		if service.Kind == KindModel && !served[service.Name] {
			c.add(path, "no model names the model service %q", service.Name)
		}
		if service.Kind == KindModel && len(service.Routes) > 0 {
			c.add(path+"/routes", "a model service has no routes")
		}
		if service.Kind == KindPlain {
			c.routes(path+"/routes", service.Routes)
			c.noRole(path, service)
		}
	}
}

func (c *checker) noRole(path string, s Service) {
	if s.Role != "" {
		c.add(path+"/role", "only the runners of a model service have a role")
	}
}

func (c *checker) routes(list string, routes []Route) {
	c.unique(list, "path", names(routes, func(r Route) string { return r.Method + " " + r.Path }))
	for i, r := range routes {
		path := at(list, i)
		if r.Method != strings.ToUpper(r.Method) {
			c.add(path+"/method", "%q is not in upper case", r.Method)
		}
		if !r.Repeatable && r.OutagePolicy == "" {
			c.add(path+"/outage_policy", "a route that is not repeatable needs %q or %q", OutageRun, OutageRefuse)
		}
		if r.Class != "" && !c.classes[r.Class] {
			c.add(path+"/class", "there is no class %q", r.Class)
		}
	}
}

func (c *checker) workspaces() {
	c.unique("/workspaces", "name", names(c.m.Workspaces, func(w Workspace) string { return string(w.Name) }))
	holder := map[string]string{}
	for i, w := range c.m.Workspaces {
		for j, hash := range w.KeyHashes {
			path := at(at("/workspaces", i)+"/key_hashes", j)
			if !validKeyHash(hash) {
				c.add(path, "is not %d bytes in lower-case hex", keyHashBytes)
			}
			if former, taken := holder[hash]; taken {
				c.add(path, "is the same key hash as %s", former)
				continue
			}
			holder[hash] = path
		}
	}
}

func validKeyHash(hash string) bool {
	data, err := hex.DecodeString(hash)
	return err == nil && len(data) == keyHashBytes && hash == strings.ToLower(hash)
}

func (c *checker) allClasses() {
	c.unique("/classes", "name", names(c.m.Classes, func(k Class) string { return k.Name }))
	for i, class := range c.m.Classes {
		if class.DeadlineMillis > 0 && class.DeadlineMillis < class.TTFTMillis {
			c.add(at("/classes", i)+"/deadline_ms", "%d ms is before the target of the first token, %d ms", class.DeadlineMillis, class.TTFTMillis)
		}
	}
}

func (c *checker) fleet() {
	f := c.m.Fleet
	c.unique("/fleet/failure_domains", "", names(f.FailureDomains, func(d ident.FailureDomain) string { return string(d) }))
	c.unique("/fleet/vm_classes", "name", names(f.VMClasses, func(k VMClass) string { return k.Name }))
	if f.SurviveDomainLoss && len(f.FailureDomains) < 2 {
		c.add("/fleet/survive_domain_loss", "needs at least two failure domains")
	}
	for i, class := range f.VMClasses {
		for j, service := range class.Services {
			if _, known := c.services[service]; !known {
				c.add(at(at("/fleet/vm_classes", i)+"/services", j), "there is no service %q", service)
			}
		}
	}
	c.capacity()
}

// capacity checks that every service may run somewhere and that the cheapest
// way to run them all is within the cost limit.
func (c *checker) capacity() {
	least := 0.0
	for i, service := range c.m.Services {
		price, ok := c.cheapest(service.Name)
		if !ok {
			c.add(at("/services", i), "no VM class may hold the runners of %q", service.Name)
			continue
		}
		least += price * float64(service.Runners)
	}
	limit := c.m.Fleet.MaxCostPerHour
	if limit > 0 && least > limit {
		c.add("/fleet/max_cost_per_hour", "%g can't hold the runners: they cost at least %g", limit, least)
	}
}

func (c *checker) cheapest(service string) (float64, bool) {
	price, found := 0.0, false
	for _, class := range c.m.Fleet.VMClasses {
		if !class.holds(service) {
			continue
		}
		if !found || class.PricePerHour < price {
			price, found = class.PricePerHour, true
		}
	}
	return price, found
}

func (k VMClass) holds(service string) bool {
	if len(k.Services) == 0 {
		return true
	}
	for _, s := range k.Services {
		if s == service {
			return true
		}
	}
	return false
}
