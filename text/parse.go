package text

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/findings"
)

// Parse checks a text that somebody offers: syntax, schema and sense, and all
// findings come together, sorted by place. The text is nil if one of them is
// an error; warnings leave it usable.
func Parse(raw []byte) (*Text, findings.List) {
	list := findings.Syntax(raw)
	if !json.Valid(raw) {
		return nil, list
	}
	checkSchema(raw, &list)
	t := newText()
	if err := json.Unmarshal(raw, t); err != nil && !list.HasErrors() {
		list.Errorf("", "%v", err)
	}
	t.fill()
	t.check(&list)
	findings.Locate(raw, list)
	if list.HasErrors() {
		return nil, list
	}
	t.buildIndex()
	return t, list
}

// Load decodes a text that was checked when it was accepted, without checking
// it again. Fields that it doesn't know are passed over: during an upgrade, a
// process of the older version must not refuse a revision that is in force.
func Load(raw []byte) (*Text, error) {
	t := newText()
	if err := json.Unmarshal(raw, t); err != nil {
		return nil, errors.Wrap(err, "text: accepted revision can't be decoded")
	}
	t.fill()
	t.buildIndex()
	return t, nil
}
