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

// checker collects the contradictions in one manifest.
type checker struct {
	m        *Manifest
	services map[string]Kind
	classes  map[string]bool
	problems []document.Problem
}

// Check implements document.Checker. It returns every contradiction between
// the parts of the manifest with its JSON path, in the order of the parts.
func (m *Manifest) Check() []document.Problem {
	c := &checker{m: m, services: map[string]Kind{}, classes: map[string]bool{}}
	for _, s := range m.Services {
		c.services[s.Name] = s.Kind
	}
	for _, class := range m.Classes {
		c.classes[class.Name] = true
	}
	c.checkFormat()
	c.checkModels()
	c.checkServices()
	c.checkWorkspaces()
	c.checkClasses()
	c.checkFleet()
	return c.problems
}

func (c *checker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, document.Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// requireUnique reports every name that occurs more than once in a list.
func (c *checker) requireUnique(list, field string, names []string) {
	first := map[string]int{}
	for i, name := range names {
		if j, ok := first[name]; ok {
			c.addProblem(strings.TrimSuffix(elementPath(list, i)+"/"+field, "/"), "%q is taken by %s", name, elementPath(list, j))
			continue
		}
		first[name] = i
	}
}

func elementPath(list string, i int) string { return list + "/" + strconv.Itoa(i) }

func collectNames[T any](list []T, name func(T) string) []string {
	all := make([]string, 0, len(list))
	for _, v := range list {
		all = append(all, name(v))
	}
	return all
}

func (c *checker) checkFormat() {
	if c.m.Format != Format {
		c.addProblem("/format", "is %q, not %q", c.m.Format, Format)
	}
}

func (c *checker) checkModels() {
	c.requireUnique("/models", "name", collectNames(c.m.Models, func(m Model) string { return m.Name }))
	for i, model := range c.m.Models {
		path := elementPath("/models", i)
		kind, known := c.services[model.Service]
		switch {
		case !known:
			c.addProblem(path+"/service", "there is no service %q", model.Service)
		case kind != KindModel:
			c.addProblem(path+"/service", "service %q is of kind %q, not %q", model.Service, kind, KindModel)
		}
		c.requireUnique(path+"/adapters", "name", collectNames(model.Adapters, func(a Adapter) string { return a.Name }))
		if model.Canary != nil && model.Canary.Version == model.Version {
			c.addProblem(path+"/canary/version", "is the version %q that the model has anyway", model.Version)
		}
	}
}

func (c *checker) checkServices() {
	c.requireUnique("/services", "name", collectNames(c.m.Services, func(s Service) string { return s.Name }))
	served := map[string]bool{}
	for _, model := range c.m.Models {
		served[model.Service] = true
	}
	for i, service := range c.m.Services {
		path := elementPath("/services", i)
		if service.Kind == KindModel && !served[service.Name] {
			c.addProblem(path, "no model names the model service %q", service.Name)
		}
		if service.Kind == KindModel && len(service.Routes) > 0 {
			c.addProblem(path+"/routes", "a model service has no routes")
		}
		if service.Kind == KindPlain {
			c.routes(path+"/routes", service.Routes)
			c.rejectRole(path, service)
		}
	}
}

func (c *checker) rejectRole(path string, s Service) {
	if s.Role != "" {
		c.addProblem(path+"/role", "only the runners of a model service have a role")
	}
}

func (c *checker) routes(list string, routes []Route) {
	c.requireUnique(list, "path", collectNames(routes, func(r Route) string { return r.Method + " " + r.Path }))
	for i, r := range routes {
		path := elementPath(list, i)
		if r.Method != strings.ToUpper(r.Method) {
			c.addProblem(path+"/method", "%q is not in upper case", r.Method)
		}
		if !r.Repeatable && r.OutagePolicy == "" {
			c.addProblem(path+"/outage_policy", "a route that is not repeatable needs %q or %q", OutageRun, OutageRefuse)
		}
		if r.Class != "" && !c.classes[r.Class] {
			c.addProblem(path+"/class", "there is no class %q", r.Class)
		}
	}
}

func (c *checker) checkWorkspaces() {
	c.requireUnique("/workspaces", "name", collectNames(c.m.Workspaces, func(w Workspace) string { return string(w.Name) }))
	firstUse := map[string]string{}
	for i, w := range c.m.Workspaces {
		for j, hash := range w.KeyHashes {
			path := elementPath(elementPath("/workspaces", i)+"/key_hashes", j)
			if !validKeyHash(hash) {
				c.addProblem(path, "is not %d bytes in lower-case hex", keyHashBytes)
			}
			if former, taken := firstUse[hash]; taken {
				c.addProblem(path, "is the same key hash as %s", former)
				continue
			}
			firstUse[hash] = path
		}
	}
}

func validKeyHash(hash string) bool {
	data, err := hex.DecodeString(hash)
	return err == nil && len(data) == keyHashBytes && hash == strings.ToLower(hash)
}

func (c *checker) checkClasses() {
	c.requireUnique("/classes", "name", collectNames(c.m.Classes, func(k Class) string { return k.Name }))
	for i, class := range c.m.Classes {
		if class.DeadlineMillis > 0 && class.DeadlineMillis < class.TTFTMillis {
			c.addProblem(elementPath("/classes", i)+"/deadline_ms", "%d ms is before the target of the first token, %d ms", class.DeadlineMillis, class.TTFTMillis)
		}
	}
}

func (c *checker) checkFleet() {
	f := c.m.Fleet
	c.requireUnique("/fleet/failure_domains", "", collectNames(f.FailureDomains, func(d ident.FailureDomain) string { return string(d) }))
	c.requireUnique("/fleet/vm_classes", "name", collectNames(f.VMClasses, func(k VMClass) string { return k.Name }))
	if f.SurviveDomainLoss && len(f.FailureDomains) < 2 {
		c.addProblem("/fleet/survive_domain_loss", "needs at least two failure domains")
	}
	for i, class := range f.VMClasses {
		for j, service := range class.Services {
			if _, known := c.services[service]; !known {
				c.addProblem(elementPath(elementPath("/fleet/vm_classes", i)+"/services", j), "there is no service %q", service)
			}
		}
	}
	c.checkCapacity()
}

// checkCapacity checks that some VM class may run each service, and that the
// cheapest VM classes that can run all services are within the cost limit.
func (c *checker) checkCapacity() {
	minimumCost := 0.0
	for i, service := range c.m.Services {
		price, ok := c.cheapestPrice(service.Name)
		if !ok {
			c.addProblem(elementPath("/services", i), "no VM class may hold the runners of %q", service.Name)
			continue
		}
		minimumCost += price * float64(service.Runners)
	}
	limit := c.m.Fleet.MaxCostPerHour
	if limit > 0 && minimumCost > limit {
		c.addProblem("/fleet/max_cost_per_hour", "%g can't hold the runners: they cost at least %g", limit, minimumCost)
	}
}

func (c *checker) cheapestPrice(service string) (float64, bool) {
	price, found := 0.0, false
	for _, class := range c.m.Fleet.VMClasses {
		if !class.canHost(service) {
			continue
		}
		if !found || class.PricePerHour < price {
			price, found = class.PricePerHour, true
		}
	}
	return price, found
}

func (k VMClass) canHost(service string) bool {
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
