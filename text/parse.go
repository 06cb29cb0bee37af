package text

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/findings"
)

// Parse decodes and validates a new configuration: syntax, schema and consistency.
// All findings are reported together, sorted by position. The configuration is nil
// if any finding is an error; warnings leave it usable.
func Parse(raw []byte) (*Config, findings.List) {
	list := findings.Syntax(raw)
	if !json.Valid(raw) {
		return nil, list
	}
	checkSchema(raw, &list)
	c := newConfig()
	if err := json.Unmarshal(raw, c); err != nil && !list.HasErrors() {
		list.Errorf("", "%v", err)
	}
	c.setDefaults()
	c.check(&list)
	findings.Locate(raw, list)
	if list.HasErrors() {
		return nil, list
	}
	c.buildIndex()
	return c, list
}

// Load decodes a configuration that was validated when it was accepted, without
// validating it again. Unknown fields are ignored: during an upgrade, a process of
// the older version must not refuse a revision that is in force.
func Load(raw []byte) (*Config, error) {
	c := newConfig()
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, errors.Wrap(err, "text: accepted revision can't be decoded")
	}
	c.setDefaults()
	c.buildIndex()
	return c, nil
}
