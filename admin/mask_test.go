package admin

import (
	"bytes"
	"encoding/json"
	"regexp"
	"testing"

	"github.com/onsi/gomega"
)

// tag matches the replacement of a secret.
var tag = regexp.MustCompile(`masked-[0-9a-f]{8}`)

// FuzzMask masks arbitrary documents: masking must neither panic, nor change its input,
// nor leave a known secret in place. Valid JSON that does not contain the secret must
// stay valid.
func FuzzMask(f *testing.F) {
	f.Add([]byte(`{"a": [1, {"b": "hunter2-secret"}], "d": null}`), "hunter2-secret")
	f.Add([]byte(`{"note": "in a comment" /* hunter2-secret */}`), "hunter2-secret")
	f.Add([]byte(`{"token": {"x": ["s3cret-value"]}}`), "s3cret-value")
	f.Add([]byte(`not json`), "quoted\"\\secret")
	f.Fuzz(func(t *testing.T, document []byte, secret string) {
		if len(secret) < minSecretBytes || bytes.Contains([]byte(`masked-0123456789abcdef{"left_out": "not valid JSON, so its secrets can't be found"}`), []byte(secret)) {
			t.Skip("also part of what masking writes, or too short to search for")
		}
		before := bytes.Clone(document)
		masked := newMasker(secret).maskJSON(document)
		if !bytes.Equal(before, document) {
			t.Fatalf("masking changed its input, which may be the configuration in force: %q became %q", before, document)
		}
		if !json.Valid(masked) && json.Valid(document) && !bytes.Contains(document, []byte(secret)) {
			t.Fatalf("valid JSON %q became invalid: %q", document, masked)
		}
		// A secret of hexadecimal digits may occur by chance in a random tag or across
		// its edge. It must never occur outside the tags.
		if bytes.Contains(tag.ReplaceAll(masked, []byte{0, 0xff}), []byte(secret)) {
			t.Fatalf("%q still contains the secret %q", masked, secret)
		}
	})
}

// Covers every way in which a value can be under a secret name, and values next to it.
func TestMaskFollowsNames(t *testing.T) {
	g := gomega.NewWithT(t)
	document := `{"adminToken": "a1", "keys": ["b1", {"x": "b2", "n": [7, "b3"]}], "after": ["c1"], "key": null, "then": "c2",
  "token": {"deep": [["b4"]]}, "password": "", "last": {"secret": true, "kept": "c3"}}`
	masked := string(newMasker().maskJSON([]byte(document)))
	for _, secret := range []string{`"a1"`, `"b1"`, `"b2"`, `"b3"`, `"b4"`} {
		g.Expect(masked).NotTo(gomega.ContainSubstring(secret))
	}
	for _, kept := range []string{`"c1"`, `"c2"`, `"c3"`, `"key": null`, `"password": ""`, `"secret": true`, "[7,", "\n  \"token\""} {
		g.Expect(masked).To(gomega.ContainSubstring(kept))
	}
	g.Expect(string(newMasker().maskJSON([]byte(`{"key": "cut`)))).To(gomega.Equal(notJSON))
	g.Expect(string(newMasker().maskJSON(nil))).To(gomega.Equal(notJSON))
}

func TestMaskTagsOfEqualValuesAreEqualInOneBundleOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	document := []byte(`{"key":"same-value","keys":["same-value"],"max_tokens":5,"keeper":"kept"}`)
	var first, second struct {
		Key       string
		Keys      []string
		MaxTokens int `json:"max_tokens"`
		Keeper    string
	}
	g.Expect(json.Unmarshal(newMasker().maskJSON(document), &first)).To(gomega.Succeed())
	g.Expect(json.Unmarshal(newMasker().maskJSON(document), &second)).To(gomega.Succeed())
	g.Expect(first.Key).To(gomega.Equal(first.Keys[0]))
	g.Expect(first.Key).NotTo(gomega.Equal(second.Key))
	g.Expect(first.MaxTokens).To(gomega.Equal(5))
	g.Expect(first.Keeper).To(gomega.Equal("kept"))
}
