package findings_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/findings"
)

func TestLocate(t *testing.T) {
	g := NewWithT(t)
	raw := []byte("{\n  \"é\": \"ü\", \"a/b\": [1, {\"~\": 2}],\n  \"c\": null\n}")
	var list findings.List
	list.Warnf("/c", "null")
	list.Errorf("/a~1b/1/~0", "member")
	list.Errorf("/a~1b/0", "item")
	list.Errorf("/a~1b/7/x", "absent")
	list.Errorf("", "document")
	findings.Locate(raw, list)
	g.Expect(list.String()).To(Equal(`1:1: error: document
2:20: error: /a~1b/7/x: absent
2:21: error: /a~1b/0: item
2:30: error: /a~1b/1/~0: member
3:8: warning: /c: null`))
}

func TestErrAndJSON(t *testing.T) {
	g := NewWithT(t)
	var list findings.List
	g.Expect(string(list.JSON())).To(Equal("[]"))
	list.Warnf("/a", "odd")
	g.Expect(list.Err()).To(Succeed())
	list.Errorf("/b", "wrong")
	g.Expect(list.Err()).To(MatchError(ContainSubstring("error: /b: wrong")))
	var back findings.List
	g.Expect(json.Unmarshal(list.JSON(), &back)).To(Succeed())
	g.Expect(back).To(Equal(list))
}

func FuzzLocate(f *testing.F) {
	f.Add([]byte("{\"a\":[1,{\"b\":2}]}"), "/a/1/b")
	f.Add([]byte("[\n"), "/0")
	f.Add([]byte(" \xff"), "//~2")
	f.Fuzz(func(t *testing.T, raw []byte, pointer string) {
		list := findings.Syntax(raw)
		list.Errorf(pointer, "here")
		findings.Locate(raw, list)
		for _, finding := range list {
			if finding.Line < 1 || finding.Column < 1 {
				t.Fatalf("no position for %v", finding)
			}
		}
		if json.Valid(raw) && findings.Syntax(raw).HasErrors() {
			t.Skip() // stricter than encoding/json: duplicate names, invalid UTF-8
		}
		if !json.Valid(raw) && !findings.Syntax(raw).HasErrors() {
			t.Fatalf("no finding for invalid JSON %q", raw)
		}
	})
}
