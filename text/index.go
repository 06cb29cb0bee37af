package text

import (
	"crypto/sha256"
	"encoding/hex"
)

// keyHash is the SHA-256 of an API key.
type keyHash [sha256.Size]byte

// serverIndex is the position of a backend server in the configuration.
type serverIndex struct{ service, server int32 }

// index holds the lookup tables for requests. It is built once and read-only
// afterwards, so that lookups take no lock.
type index struct {
	services      map[string]int32  // name to the index in Services
	models        map[string]int32  // model or adapter name to the index of the service that serves it
	organisations map[string]int32  // name to the index in Organisations
	keys          map[keyHash]int32 // key's hash to the index in Organisations
	servers       map[string]serverIndex
}

func (c *Config) buildIndex() {
	c.index = index{
		services:      make(map[string]int32, len(c.Services)),
		models:        make(map[string]int32, len(c.Models)+len(c.Adapters)),
		organisations: make(map[string]int32, len(c.Organisations)),
		keys:          make(map[keyHash]int32, len(c.Organisations)),
		servers:       map[string]serverIndex{},
	}
	for i := range c.Services {
		c.indexService(int32(i))
	}
	for i := range c.Organisations {
		c.indexOrganisation(int32(i))
	}
}

func (c *Config) indexService(i int32) {
	s := &c.Services[i]
	c.index.services[s.Name] = i
	for j := range s.BackendServers {
		c.index.servers[s.BackendServers[j].Name] = serverIndex{service: i, server: int32(j)}
	}
	if s.Kind != KindModel {
		return
	}
	for _, dep := range s.DependsOn {
		if name := dep.modelOrAdapter(); name != "" {
			c.index.models[name] = i
		}
	}
}

func (c *Config) indexOrganisation(i int32) {
	o := &c.Organisations[i]
	c.index.organisations[o.Name] = i
	for _, key := range o.KeySHA256 {
		if hash, ok := parseKeyHash(key); ok {
			c.index.keys[hash] = i
		}
	}
}

// modelOrAdapter returns the name of the model or adapter, "" for a service.
func (dep Dependency) modelOrAdapter() string {
	if dep.Model != "" {
		return dep.Model
	}
	return dep.Adapter
}

func parseKeyHash(s string) (keyHash, bool) {
	var hash keyHash
	if len(s) != hex.EncodedLen(len(hash)) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(s))
	return hash, err == nil
}

// Service returns the service with that name.
func (c *Config) Service(name string) (*Service, bool) {
	i, ok := c.index.services[name]
	if !ok {
		return nil, false
	}
	return &c.Services[i], true
}

// ModelService returns the service that serves the model or adapter with that name.
func (c *Config) ModelService(model string) (*Service, bool) {
	i, ok := c.index.models[model]
	if !ok {
		return nil, false
	}
	return &c.Services[i], true
}

// Organisation returns the organisation with that name.
func (c *Config) Organisation(name string) (*Organisation, bool) {
	i, ok := c.index.organisations[name]
	if !ok {
		return nil, false
	}
	return &c.Organisations[i], true
}

// OrganisationByKey returns the organisation that owns an API key, given as the
// bearer token of a request.
func (c *Config) OrganisationByKey(bearerToken string) (*Organisation, bool) {
	i, ok := c.index.keys[sha256.Sum256([]byte(bearerToken))]
	if !ok {
		return nil, false
	}
	return &c.Organisations[i], true
}

// BackendServer returns the backend server with that name; its Service field
// names the service that it belongs to.
func (c *Config) BackendServer(name string) (*BackendServer, bool) {
	position, ok := c.index.servers[name]
	if !ok {
		return nil, false
	}
	return &c.Services[position.service].BackendServers[position.server], true
}
