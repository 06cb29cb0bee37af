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
	services      map[string]int32
	models        map[string]int32 // model or adapter name to the service that serves it
	organisations map[string]int32
	keys          map[keyHash]int32
	servers       map[string]serverIndex
}

func (t *Text) buildIndex() {
	t.index = index{
		services:      make(map[string]int32, len(t.Services)),
		models:        make(map[string]int32, len(t.Models)+len(t.Adapters)),
		organisations: make(map[string]int32, len(t.Organisations)),
		keys:          make(map[keyHash]int32, len(t.Organisations)),
		servers:       map[string]serverIndex{},
	}
	for i := range t.Services {
		t.indexService(int32(i))
	}
	for i := range t.Organisations {
		t.indexOrganisation(int32(i))
	}
}

func (t *Text) indexService(i int32) {
	s := &t.Services[i]
	t.index.services[s.Name] = i
	for j := range s.BackendServers {
		t.index.servers[s.BackendServers[j].Name] = serverIndex{service: i, server: int32(j)}
	}
	if s.Kind != KindModel {
		return
	}
	for _, d := range s.DependsOn {
		if name := d.modelOrAdapter(); name != "" {
			t.index.models[name] = i
		}
	}
}

func (t *Text) indexOrganisation(i int32) {
	o := &t.Organisations[i]
	t.index.organisations[o.Name] = i
	for _, key := range o.KeySHA256 {
		if hash, ok := parseKeyHash(key); ok {
			t.index.keys[hash] = i
		}
	}
}

// modelOrAdapter returns the name of the model or adapter, "" for a service.
func (d Dependency) modelOrAdapter() string {
	if d.Model != "" {
		return d.Model
	}
	return d.Adapter
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
func (t *Text) Service(name string) (*Service, bool) {
	i, ok := t.index.services[name]
	if !ok {
		return nil, false
	}
	return &t.Services[i], true
}

// ModelService returns the service that serves the model or adapter with that name.
func (t *Text) ModelService(model string) (*Service, bool) {
	i, ok := t.index.models[model]
	if !ok {
		return nil, false
	}
	return &t.Services[i], true
}

// Organisation returns the organisation with that name.
func (t *Text) Organisation(name string) (*Organisation, bool) {
	i, ok := t.index.organisations[name]
	if !ok {
		return nil, false
	}
	return &t.Organisations[i], true
}

// OrganisationByKey returns the organisation that owns an API key, given as the
// bearer token of a request.
func (t *Text) OrganisationByKey(bearerToken string) (*Organisation, bool) {
	i, ok := t.index.keys[sha256.Sum256([]byte(bearerToken))]
	if !ok {
		return nil, false
	}
	return &t.Organisations[i], true
}

// BackendServer returns the backend server with that name; its Service field
// names the service that it belongs to.
func (t *Text) BackendServer(name string) (*BackendServer, bool) {
	position, ok := t.index.servers[name]
	if !ok {
		return nil, false
	}
	return &t.Services[position.service].BackendServers[position.server], true
}
