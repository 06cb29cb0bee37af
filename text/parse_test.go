package text_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/text"
)

func example(t testing.TB, name string) []byte {
	raw, err := os.ReadFile(filepath.Join("..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestExamplesAreClean(t *testing.T) {
	for name, servers := range map[string]int{"drummond-leckie.json": 36, "suva.json": 24} {
		g := NewWithT(t)
		parsed, list := text.Parse(example(t, name))
		g.Expect(list).To(BeEmpty(), name)
		g.Expect(parsed.Services[0].BackendServers).To(HaveLen(servers))
		g.Expect(parsed.Services[1].BackendServers).To(HaveLen(4))
		g.Expect(parsed.Organisations).To(HaveLen(10))
	}
}

func TestFourFaultsAreReportedTogether(t *testing.T) {
	g := NewWithT(t)
	parsed, list := text.Parse(example(t, "four-faults.json"))
	g.Expect(parsed).To(BeNil())
	g.Expect(list).To(HaveLen(4))
	readme := string(example(t, "README.md"))
	g.Expect(readme).To(ContainSubstring(list.String()))
}

func TestLookups(t *testing.T) {
	g := NewWithT(t)
	parsed, _ := text.Parse(example(t, "drummond-leckie.json"))
	service, ok := parsed.ModelService("pear-draft-tender")
	g.Expect(ok).To(BeTrue())
	g.Expect(service.Name).To(Equal("pear-models"))
	_, ok = parsed.ModelService("depot-apps")
	g.Expect(ok).To(BeFalse())
	organisation, ok := parsed.OrganisationByKey("drummond-tay-roads-demo-key")
	g.Expect(ok).To(BeTrue())
	g.Expect(organisation.Name).To(Equal("tay-roads"))
	_, ok = parsed.OrganisationByKey("")
	g.Expect(ok).To(BeFalse())
	server, ok := parsed.BackendServer("depot-app-02")
	g.Expect(ok).To(BeTrue())
	g.Expect(server.Service).To(Equal("depot-apps"))
}

func TestDefaults(t *testing.T) {
	g := NewWithT(t)
	parsed, list := text.Parse([]byte(`{"services":[{"name":"p","kind":"plain"},{"name":"q","kind":"plain","retryBudget":0}],
		"organisations":[{"name":"o","keySHA256":["` + strings.Repeat("ab", 32) + `"],"limits":{"requestsPerSecond":2.5}}],
		"recovery":{"journalPeers":0}}`))
	g.Expect(list).To(BeEmpty())
	g.Expect(parsed.Services[0].RetryBudget).To(Equal(text.DefaultRetryBudget))
	g.Expect(parsed.Services[1].RetryBudget).To(BeZero())
	g.Expect(parsed.Services[0].Calls).To(Equal(text.CallsAtMostOnce))
	g.Expect(parsed.Organisations[0].Weight).To(Equal(1))
	g.Expect(parsed.Organisations[0].Limits.Burst).To(Equal(3))
	g.Expect(parsed.Recovery.JournalPeers).To(BeZero())
	g.Expect(parsed.Recovery.SilenceMillis).To(Equal(text.DefaultSilenceMillis))
	g.Expect(parsed.Limits.MaxTokens).To(Equal(text.DefaultMaxTokens))
}

func TestFindings(t *testing.T) {
	server := func(name, address string) string {
		return fmt.Sprintf(`{"name":%q,"zone":"z","sidecar":%q}`, name, address)
	}
	cases := []struct{ name, raw, want string }{
		{"syntax", "{\n \"services\": [,]}", "2:15: error: not JSON"},
		{"empty", "", "1:1: error: not JSON: the document is empty"},
		{"cut off", `{"services":[`, "1:14: error: not JSON: the document ends too early"},
		{"trailing", `{} {}`, "1:4: error: text after the end"},
		{"not an object", `[]`, "1:1: error:"},
		{"name twice in an object", `{"models":[],"models":[]}`, `1:14: error: /models: name "models" given twice`},
		{"unknown field", "{\n\"limits\":{\"maxTokenz\":1}}", `2:23: error: /limits/maxTokenz: unknown field "maxTokenz"`},
		{"missing field", `{"models":[{"name":"m"}]}`, `1:12: error: /models/0: field "version" is missing`},
		{"negative", `{"recovery":{"maxResumes":-1}}`, "/recovery/maxResumes: -1 is below"},
		{"wrong type", `{"recovery":{"maxResumes":"many"}}`, "/recovery/maxResumes: got string, want integer"},
		{"unknown service", `{"services":[{"name":"a","kind":"plain","dependsOn":[{"service":"b"}]}]}`, `unknown service "b"`},
		{"service depends on itself", `{"services":[{"name":"a","kind":"plain","dependsOn":[{"service":"a"}]}]}`, `in a circle: a -> a`},
		{"service without server", `{"services":[{"name":"a","kind":"plain","dependsOn":[{"service":"b"}]},{"name":"b","kind":"plain"}]}`, `nothing provides service "b"`},
		{"unprovided model", `{"services":[{"name":"a","kind":"plain","dependsOn":[{"model":"m","version":"1"}]}],"models":[{"name":"m","version":"1"}]}`, `nothing provides model "m"`},
		{"two things in a dependency", `{"services":[{"name":"a","kind":"plain","dependsOn":[{"model":"m","service":"a"}]}]}`, "exactly one of"},
		{"service without model", `{"services":[{"name":"a","kind":"model"}]}`, "depends on no model"},
		{"version missing", `{"services":[{"name":"a","kind":"model","dependsOn":[{"model":"m"}]}],"models":[{"name":"m","version":"1"}]}`, `known: 1`},
		{"adapter's model", `{"adapters":[{"name":"a","version":"1","model":"m"}]}`, `/adapters/0/model: unknown model "m"`},
		{"adapter without its model", `{"services":[{"name":"s","kind":"model","dependsOn":[{"adapter":"a","version":"1"}]}],"models":[{"name":"m","version":"1"}],"adapters":[{"name":"a","version":"1","model":"m"}]}`, `adapter "a" needs model "m"`},
		{"model in two services", `{"services":[{"name":"s","kind":"model","dependsOn":[{"model":"m","version":"1"}]},{"name":"r","kind":"model","dependsOn":[{"model":"m","version":"1"}]}],"models":[{"name":"m","version":"1"}]}`, `is provided by service "s" already`},
		{"generations at most once", `{"services":[{"name":"s","kind":"model","calls":"at-most-once"}]}`, "must be repeatable"},
		{"duplicate server", `{"services":[{"name":"a","kind":"plain","backendServers":[` + server("x", "10.0.0.1:1") + "," + server("x", "10.0.0.2:1") + `]}]}`, `backend server "x" is given twice, first at /services/0/backendServers/0/name`},
		{"duplicate address", `{"services":[{"name":"a","kind":"plain","backendServers":[` + server("x", "10.0.0.1:1") + "," + server("y", "[::ffff:10.0.0.1]:1") + `]}]}`, `sidecar address "10.0.0.1:1" is given twice`},
		{"host name", `{"services":[{"name":"a","kind":"plain","backendServers":[` + server("x", "host:1") + `]}]}`, "is not an ip:port"},
		{"one zone", `{"services":[{"name":"a","kind":"plain","backendServers":[` + server("x", "10.0.0.1:1") + "," + server("y", "10.0.0.2:1") + `]}]}`, "warning: /services/0/backendServers: all 2 backend servers"},
		{"duplicate key", `{"organisations":[{"name":"a","keySHA256":["` + strings.Repeat("0", 64) + `"]},{"name":"b","keySHA256":["` + strings.Repeat("0", 64) + `"]}]}`, `/organisations/1/keySHA256/0: key is given twice, first by organisation "a"`},
		{"duplicate organisation", `{"organisations":[{"name":"a","keySHA256":[]},{"name":"a","keySHA256":[]}]}`, `organisation "a" is given twice`},
		{"plain key in place of hash", `{"organisations":[{"name":"a","keySHA256":["secret"]}]}`, "/organisations/0/keySHA256/0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, list := text.Parse([]byte(c.raw))
			NewWithT(t).Expect(list.String()).To(ContainSubstring(c.want))
		})
	}
}

// A router of an older version reads a revision accepted by a newer one, with a
// field it doesn't know. It must use the revision instead of keeping the old one.
func TestLoadIgnoresUnknownFields(t *testing.T) {
	g := NewWithT(t)
	loaded, err := text.Load([]byte(`{"future":1,"services":[{"name":"a","kind":"plain"}]}`))
	g.Expect(err).NotTo(HaveOccurred())
	_, ok := loaded.Service("a")
	g.Expect(ok).To(BeTrue())
	_, err = text.Load([]byte(`{`))
	g.Expect(err).To(HaveOccurred())
}

func FuzzParse(f *testing.F) {
	f.Add(bigConfig(2))
	f.Add([]byte(`{"services":[{"name":"a","dependsOn":[{"service":"a"}]}],"a":{"a":1,"a":2}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		parsed, list := text.Parse(raw)
		if (parsed == nil) != list.HasErrors() {
			t.Fatalf("configuration %v with findings %v", parsed, list)
		}
		for _, finding := range list {
			if finding.Line < 1 || finding.Column < 1 {
				t.Fatalf("finding without a position: %v", finding)
			}
		}
	})
}
