package text

import (
	"encoding/json"

	"github.com/pearyard/pearyard/findings"
)

// Parse decodes a text, fills in its defaults, checks it whole and builds its
// indexes. The text is nil if the findings hold an error.
func Parse(raw []byte) (*Text, findings.List) {
	var list findings.List
	t := newText()
	if err := json.Unmarshal(raw, t); err != nil {
		list.Errorf("", "%v", err)
		return nil, list
	}
	t.fill()
	t.buildIndex()
	return t, list
}
