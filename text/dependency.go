package text

import (
	"strings"

	"github.com/pearyard/pearyard/findings"
)

// dependencies checks what services depend on against what the text provides.
type dependencies struct {
	text      *Text
	models    map[string]string // versions by name, joined for messages
	adapters  map[string]string
	versions  map[string]bool   // name@version of models and adapters
	baseOf    map[string]string // adapter to model
	services  map[string]*Service
	providers map[string]string // model or adapter to the model service that serves it
}

func newDependencies(t *Text) *dependencies {
	d := &dependencies{text: t, models: map[string]string{}, adapters: map[string]string{}, versions: map[string]bool{},
		baseOf: map[string]string{}, services: map[string]*Service{}, providers: map[string]string{}}
	for _, m := range t.Models {
		d.models[m.Name] = joinVersions(d.models[m.Name], m.Version)
		d.versions[pair(m.Name, m.Version)] = true
	}
	for _, a := range t.Adapters {
		d.adapters[a.Name] = joinVersions(d.adapters[a.Name], a.Version)
		d.versions[pair(a.Name, a.Version)] = true
		d.baseOf[a.Name] = a.Model
	}
	for i := range t.Services {
		d.services[t.Services[i].Name] = &t.Services[i]
		d.addProvider(&t.Services[i])
	}
	return d
}

func (d *dependencies) addProvider(s *Service) {
	if s.Kind != KindModel {
		return
	}
	for _, dep := range s.DependsOn {
		name := dep.artefact()
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
	for i := range d.text.Services {
		d.checkService(i, list)
	}
	for i, m := range d.text.Models {
		if _, ok := d.providers[m.Name]; !ok && m.Name != "" {
			list.Warnf(findings.Pointer("models", i), "no service provides model %q", m.Name)
		}
	}
}

func (d *dependencies) checkService(i int, list *findings.List) {
	s := &d.text.Services[i]
	at := findings.Pointer("services", i)
	if s.Kind == KindModel && s.Calls == CallsAtMostOnce {
		list.Errorf(at+"/calls", "a model service's calls are generations, which are resumed and so must be repeatable")
	}
	served := firsts{}
	for j, dep := range s.DependsOn {
		here := at + findings.Pointer("dependsOn", j)
		d.checkDependency(s, dep, here, list)
		if s.Kind == KindModel {
			served.add(list, "model or adapter", dep.artefact(), here)
		}
	}
	if s.Kind == KindModel && len(served) == 0 {
		list.Errorf(at, "model service %q depends on no model, so it provides none", s.Name)
	}
}

func (d *dependencies) checkDependency(s *Service, dep Dependency, at string, list *findings.List) {
	if dep.named() != 1 {
		list.Errorf(at, "a dependency names exactly one of model, adapter and service")
		return
	}
	switch {
	case dep.Service != "":
		d.checkServiceNamed(dep, at, list)
	case dep.Model != "":
		d.checkVersion("model", dep.Model, dep.Version, d.models, at, list)
		d.checkProvided(s, "model", dep.Model, at, list)
	default:
		d.checkVersion("adapter", dep.Adapter, dep.Version, d.adapters, at, list)
		d.checkProvided(s, "adapter", dep.Adapter, at, list)
		d.checkBase(s, dep.Adapter, at, list)
	}
}

func (dep Dependency) named() int {
	n := 0
	for _, name := range []string{dep.Model, dep.Adapter, dep.Service} {
		if name != "" {
			n++
		}
	}
	return n
}

func (d *dependencies) checkServiceNamed(dep Dependency, at string, list *findings.List) {
	target, ok := d.services[dep.Service]
	if !ok {
		list.Errorf(at+"/service", "unknown service %q", dep.Service)
		return
	}
	if len(target.BackendServers) == 0 {
		list.Errorf(at+"/service", "nothing provides service %q: it has no backend server", dep.Service)
	}
	if dep.Version != "" {
		list.Errorf(at+"/version", "a service has no version")
	}
}

func (d *dependencies) checkVersion(what, name, version string, known map[string]string, at string, list *findings.List) {
	versions, ok := known[name]
	switch {
	case !ok:
		list.Errorf(at+"/"+what, "unknown %s %q", what, name)
	case version == "":
		list.Errorf(at, "the version of %s %q is missing; known: %s", what, name, versions)
	case !d.versions[pair(name, version)]:
		list.Errorf(at+"/version", "unknown version %q of %s %q; known: %s", version, what, name, versions)
	}
}

// checkProvided reports a model that no model service serves, or that two
// serve: a caller names only the model, so there must be one place for it.
func (d *dependencies) checkProvided(s *Service, what, name, at string, list *findings.List) {
	provider, ok := d.providers[name]
	if !ok {
		list.Errorf(at+"/"+what, "nothing provides %s %q: no model service depends on it", what, name)
		return
	}
	if s.Kind == KindModel && provider != s.Name {
		list.Errorf(at+"/"+what, "%s %q is provided by service %q already", what, name, provider)
	}
}

// checkBase reports an adapter on a model service that doesn't hold its model.
func (d *dependencies) checkBase(s *Service, adapter, at string, list *findings.List) {
	base := d.baseOf[adapter]
	if base == "" || s.Kind != KindModel {
		return
	}
	for _, dep := range s.DependsOn {
		if dep.Model == base {
			return
		}
	}
	list.Errorf(at+"/adapter", "adapter %q needs model %q, on which service %q doesn't depend", adapter, base, s.Name)
}

// checkCycles reports each cycle among services once, at the dependency that
// closes it.
func checkCycles(services []Service, list *findings.List) {
	c := cycles{services: services, at: map[string]int{}, state: make([]visit, len(services)), list: list}
	for i, s := range services {
		c.at[s.Name] = i
	}
	for i := range services {
		c.follow(i)
	}
}

type visit int

const (
	unvisited visit = iota
	onPath
	done
)

type cycles struct {
	services []Service
	at       map[string]int
	state    []visit
	path     []int
	list     *findings.List
}

func (c *cycles) follow(i int) {
	if c.state[i] != unvisited {
		return
	}
	c.state[i] = onPath
	c.path = append(c.path, i)
	for j, dep := range c.services[i].DependsOn {
		next, ok := c.at[dep.Service]
		if dep.Service == "" || !ok {
			continue
		}
		if c.state[next] == onPath {
			c.list.Errorf(findings.Pointer("services", i, "dependsOn", j, "service"), "services depend on each other in a circle: %s", c.circle(next))
			continue
		}
		c.follow(next)
	}
	c.path = c.path[:len(c.path)-1]
	c.state[i] = done
}

func (c *cycles) circle(from int) string {
	var names []string
	for k := len(c.path) - 1; k >= 0; k-- {
		names = append([]string{c.services[c.path[k]].Name}, names...)
		if c.path[k] == from {
			break
		}
	}
	return strings.Join(append(names, c.services[from].Name), " -> ")
}
