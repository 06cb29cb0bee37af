package text

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/findings"
)

// Parse decodes and validates a new configuration: syntax, schema and consistency.
// All findings are reported together, sorted by position. The configuration is nil
// if any finding is an error; warnings leave it usable.
func Parse(raw []byte) (*Text, findings.List) {
	list := findings.Syntax(raw)
	if !json.Valid(raw) {
		return nil, list
	}
	checkSchema(raw, &list)
	t := newConfig()
	if err := json.Unmarshal(raw, t); err != nil && !list.HasErrors() {
		list.Errorf("", "%v", err)
	}
	t.setDefaults()
	t.check(&list)
	findings.Locate(raw, list)
	if list.HasErrors() {
		return nil, list
	}
	t.buildIndex()
	return t, list
}

// Load decodes a configuration that was validated when it was accepted, without
// validating it again. Unknown fields are ignored: during an upgrade, a process of
// the older version must not refuse a revision that is in force.
func Load(raw []byte) (*Text, error) {
	t := newConfig()
	if err := json.Unmarshal(raw, t); err != nil {
		return nil, errors.Wrap(err, "text: decode accepted revision")
	}
	t.setDefaults()
	t.buildIndex()
	return t, nil
}
