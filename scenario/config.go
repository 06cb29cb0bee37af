package scenario

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/embedded"
	"github.com/pearyard/pearyard/text"
)

// initialConfig returns the configuration of a new site.
func (s *site) initialConfig() *text.Config {
	key := sha256.Sum256([]byte(embedded.APIKey))
	models := text.Service{
		Name: embedded.ModelService, Kind: text.KindModel, Calls: text.CallsRepeatable, RetryBudget: text.DefaultRetryBudget,
		DependsOn: []text.Dependency{{Model: embedded.Model, Version: embedded.ModelVersion}}, BackendServers: []text.BackendServer{},
	}
	labels := text.Service{
		Name: embedded.PlainService, Kind: text.KindPlain, Calls: text.CallsAtMostOnce, RetryBudget: text.DefaultRetryBudget,
		DependsOn: []text.Dependency{}, BackendServers: []text.BackendServer{},
	}
	for i := range s.sidecarCount() {
		name, kind := s.backendOf(i + 1)
		server := text.BackendServer{Name: name, Zone: s.zone(i + 1), Sidecar: s.address(fromPeers, sidecarName(i+1))}
		if kind == text.KindModel {
			server.ChecksFencing = true
			models.BackendServers = append(models.BackendServers, server)
		} else {
			labels.BackendServers = append(labels.BackendServers, server)
		}
	}
	services := []text.Service{models}
	if s.spec.plains > 0 {
		services = append(services, labels)
	}
	// Many scripts kill processes within the first second of a generation. By default
	// journaling would not have started by then. The longest-gap conditions of the scripts
	// assume this SilenceMillis.
	recovery := text.DefaultRecovery()
	recovery.JournalAfterMillis, recovery.JournalBatchMillis, recovery.SilenceMillis = 100, 20, 1000
	return &text.Config{
		Services: services,
		Models:   []text.Model{{Name: embedded.Model, Version: embedded.ModelVersion}},
		Adapters: []text.Adapter{},
		Organisations: []text.Organisation{{
			Name: embedded.Organisation, Weight: text.DefaultWeight, KeySHA256: []string{hex.EncodeToString(key[:])},
		}},
		Recovery: recovery,
		Limits:   text.DefaultLimits(),
	}
}

// setConfigFields sets fields of the configuration, each given as `recovery.FIELD=VALUE`
// or `limits.FIELD=VALUE`.
func setConfigFields(config *text.Config, fields []string) error {
	for _, f := range fields {
		path, value, ok := strings.Cut(f, "=")
		section, field, dotted := strings.Cut(path, ".")
		if !ok || !dotted {
			return errors.Errorf("%q is not of the form SECTION.FIELD=VALUE", f)
		}
		sections := map[string]any{"recovery": &config.Recovery, "limits": &config.Limits}
		into := sections[section]
		if into == nil {
			return errors.Errorf("%q: unknown section %q", f, section)
		}
		decoder := json.NewDecoder(strings.NewReader(`{"` + field + `":` + value + `}`))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(into); err != nil {
			return errors.Wrap(err, f)
		}
	}
	return nil
}

// writeConfig writes the configuration to a file and returns its path.
func (s *site) writeConfig() (string, error) {
	file := filepath.Join(s.dir, "site.json")
	return file, s.writeJSON(file, s.config)
}
