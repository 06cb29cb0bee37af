package text

import (
	"strings"

	"github.com/pearyard/pearyard/findings"
)

// dependencies checks the services' dependencies against what the configuration
// provides.
type dependencies struct {
	config    *Config
	models    map[string]string // model name to its versions, joined for messages
	adapters  map[string]string // adapter name to its versions
	versions  map[string]bool   // name@version of models and adapters
	baseOf    map[string]string // adapter to model
	services  map[string]*Service
	providers map[string]string // model or adapter to its model service
}

func newDependencies(c *Config) *dependencies {
	d := &dependencies{config: c, models: map[string]string{}, adapters: map[string]string{}, versions: map[string]bool{},
		baseOf: map[string]string{}, services: map[string]*Service{}, providers: map[string]string{}}
	for _, m := range c.Models {
		d.models[m.Name] = joinVersions(d.models[m.Name], m.Version)
		d.versions[nameAtVersion(m.Name, m.Version)] = true
	}
	for _, a := range c.Adapters {
		d.adapters[a.Name] = joinVersions(d.adapters[a.Name], a.Version)
		d.versions[nameAtVersion(a.Name, a.Version)] = true
		d.baseOf[a.Name] = a.Model
	}
	for i := range c.Services {
		d.services[c.Services[i].Name] = &c.Services[i]
		d.addProvider(&c.Services[i])
	}
	return d
}

func (d *dependencies) addProvider(s *Service) {
	if s.Kind != KindModel {
		return
	}
	for _, dep := range s.DependsOn {
		name := dep.modelOrAdapter()
		if _, taken := d.providers[name]; name != "" && !taken {
			d.providers[name] = s.Name
		}
	}
}

func joinVersions(known, version string) string {
	if known == "" {
		return version
	}
	return known + ", " + version
}

func (d *dependencies) check(list *findings.List) {
	for i := range d.config.Services {
		d.checkService(i, list)
	}
	for i, m := range d.config.Models {
		if _, ok := d.providers[m.Name]; !ok && m.Name != "" {
			list.Warnf(findings.Pointer("models", i), "no service provides model %q", m.Name)
		}
	}
}

func (d *dependencies) checkService(i int, list *findings.List) {
	s := &d.config.Services[i]
	pointer := findings.Pointer("services", i)
	if s.Kind == KindModel && s.Calls == CallsAtMostOnce {
		list.Errorf(pointer+"/calls", "a model service's calls are generations, which are resumed and so must be repeatable")
	}
	served := firstSeen{}
	for j, dep := range s.DependsOn {
		depPointer := pointer + findings.Pointer("dependsOn", j)
		d.checkDependency(s, dep, depPointer, list)
		if s.Kind == KindModel {
			served.add(list, "model or adapter", dep.modelOrAdapter(), depPointer)
		}
	}
	if s.Kind == KindModel && len(served) == 0 {
		list.Errorf(pointer, "model service %q depends on no model, so it provides none", s.Name)
	}
}

func (d *dependencies) checkDependency(s *Service, dep Dependency, pointer string, list *findings.List) {
	if dep.targetCount() != 1 {
		list.Errorf(pointer, "a dependency names exactly one of model, adapter and service")
		return
	}
	switch {
	case dep.Service != "":
		d.checkServiceDependency(dep, pointer, list)
	case dep.Model != "":
		d.checkVersion("model", dep.Model, dep.Version, d.models, pointer, list)
		d.checkProvided(s, "model", dep.Model, pointer, list)
	default:
		d.checkVersion("adapter", dep.Adapter, dep.Version, d.adapters, pointer, list)
		d.checkProvided(s, "adapter", dep.Adapter, pointer, list)
		d.checkBase(s, dep.Adapter, pointer, list)
	}
}

// targetCount returns how many of Model, Adapter and Service are set.
func (dep Dependency) targetCount() int {
	n := 0
	for _, name := range []string{dep.Model, dep.Adapter, dep.Service} {
		if name != "" {
			n++
		}
	}
	return n
}

func (d *dependencies) checkServiceDependency(dep Dependency, pointer string, list *findings.List) {
	target, ok := d.services[dep.Service]
	if !ok {
		list.Errorf(pointer+"/service", "unknown service %q", dep.Service)
		return
	}
	if len(target.BackendServers) == 0 {
		list.Errorf(pointer+"/service", "nothing provides service %q: it has no backend server", dep.Service)
	}
	if dep.Version != "" {
		list.Errorf(pointer+"/version", "a service has no version")
	}
}

func (d *dependencies) checkVersion(kind, name, version string, versionsByName map[string]string, pointer string, list *findings.List) {
	versions, ok := versionsByName[name]
	switch {
	case !ok:
		list.Errorf(pointer+"/"+kind, "unknown %s %q", kind, name)
	case version == "":
		list.Errorf(pointer, "the version of %s %q is missing; known: %s", kind, name, versions)
	case !d.versions[nameAtVersion(name, version)]:
		list.Errorf(pointer+"/version", "unknown version %q of %s %q; known: %s", version, kind, name, versions)
	}
}

// checkProvided reports a model or adapter that no model service serves, or more
// than one: callers name only the model, so it must determine the service.
func (d *dependencies) checkProvided(s *Service, kind, name, pointer string, list *findings.List) {
	provider, ok := d.providers[name]
	if !ok {
		list.Errorf(pointer+"/"+kind, "nothing provides %s %q: no model service depends on it", kind, name)
		return
	}
	if s.Kind == KindModel && provider != s.Name {
		list.Errorf(pointer+"/"+kind, "%s %q is provided by service %q already", kind, name, provider)
	}
}

// checkBase reports an adapter of a model service that doesn't serve the adapter's
// model.
func (d *dependencies) checkBase(s *Service, adapter, pointer string, list *findings.List) {
	base := d.baseOf[adapter]
	if base == "" || s.Kind != KindModel {
		return
	}
	for _, dep := range s.DependsOn {
		if dep.Model == base {
			return
		}
	}
	list.Errorf(pointer+"/adapter", "adapter %q needs model %q, on which service %q doesn't depend", adapter, base, s.Name)
}

// checkCycles reports each cycle of services once, at the dependency that closes it.
func checkCycles(services []Service, list *findings.List) {
	c := cycleFinder{services: services, indexes: map[string]int{}, state: make([]visitState, len(services)), list: list}
	for i, s := range services {
		c.indexes[s.Name] = i
	}
	for i := range services {
		c.visit(i)
	}
}

type visitState int

const (
	unvisited visitState = iota
	onPath               // on the path from the service at which the search started
	visited
)

type cycleFinder struct {
	services []Service
	indexes  map[string]int
	state    []visitState
	path     []int
	list     *findings.List
}

func (c *cycleFinder) visit(i int) {
	if c.state[i] != unvisited {
		return
	}
	c.state[i] = onPath
	c.path = append(c.path, i)
	for j, dep := range c.services[i].DependsOn {
		next, ok := c.indexes[dep.Service]
		if dep.Service == "" || !ok {
			continue
		}
		if c.state[next] == onPath {
			c.list.Errorf(findings.Pointer("services", i, "dependsOn", j, "service"), "services depend on each other in a circle: %s", c.cyclePath(next))
			continue
		}
		c.visit(next)
	}
	c.path = c.path[:len(c.path)-1]
	c.state[i] = visited
}

func (c *cycleFinder) cyclePath(from int) string {
	var names []string
	for k := len(c.path) - 1; k >= 0; k-- {
		names = append([]string{c.services[c.path[k]].Name}, names...)
		if c.path[k] == from {
			break
		}
	}
	return strings.Join(append(names, c.services[from].Name), " -> ")
}
