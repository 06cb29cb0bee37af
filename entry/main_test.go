package entry

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/platform"
)

// check runs --check on settings.
func check(t *testing.T, settings string) (code int, stdout, stderr string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "local.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsVariable, path)
	var out, errs bytes.Buffer
	code = Main([]string{"pearyard-entry", "--check"}, &out, &errs)
	return code, out.String(), errs.String()
}

// --check prints valid settings as they were parsed, and reports all errors of invalid
// ones together, with their paths.
func TestCheckSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	code, out, _ := check(t, `{nodeName: e, ip: 10.0.0.1, zone: z, listen: {frontend: "10.0.0.1:1", ready: "10.0.0.1:2"}, internalPortRange: [7, 9],
platform: {address: "10.0.0.2:3"}, bounds: {drainTimeoutMs: 2000, gracePeriodS: 8, configApplyMs: 2000, retryWindowS: 10}}`)
	g.Expect(code).To(gomega.BeZero())
	g.Expect(out).To(gomega.ContainSubstring(`"Store": "10.0.0.2:3"`))

	code, _, errs := check(t, `{nodeName: e}`)
	g.Expect(code).To(gomega.Equal(exitFindings))
	g.Expect(errs).To(gomega.ContainSubstring("/zone"))
	g.Expect(errs).To(gomega.ContainSubstring("/platform/address"))

	code, _, errs = check(t, `{nodeName: e, ip: 10.0.0.1, zone: z, listen: {frontend: "10.0.0.1:1", ready: "10.0.0.1:1"}, internalPortRange: [7, 9],
platform: {address: "10.0.0.2:3"}, bounds: {drainTimeoutMs: 2000, gracePeriodS: 8, configApplyMs: 2000, retryWindowS: 10}}`)
	g.Expect(code).To(gomega.Equal(exitFindings))
	g.Expect(errs).To(gomega.ContainSubstring("/listen/ready"))

	t.Setenv(platform.SettingsVariable, filepath.Join(t.TempDir(), "none"))
	g.Expect(Main([]string{"pearyard-entry", "--check"}, &bytes.Buffer{}, &bytes.Buffer{})).To(gomega.Equal(exitFailed))
}

// checkConfiguration runs --check-configuration on a configuration.
func checkConfiguration(t *testing.T, config string) (code int, output string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	code = Main([]string{"pearyard-entry", "--check-configuration", path}, &out, &bytes.Buffer{})
	return code, out.String()
}

// --check-configuration reports everything that entry VMs would refuse, and what they
// would accept although requests fail because of it, together and with positions. Keys
// are not shown.
func TestCheckConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	good := `{"version":7,"routes":[{"name":"r","host":"a.example","pathPrefix":"/x/","routeType":"streaming","timeoutMs":25000,
"targetLatencyMs":4500,"maxAttempts":5,"service":"s"}],"services":[{"name":"s","healthPath":"/healthz"}],"tenants":[{"name":"o","apiKeys":["secret"]}]}`
	code, output := checkConfiguration(t, good)
	g.Expect(code).To(gomega.BeZero())
	g.Expect(output).To(gomega.BeEmpty())

	code, output = checkConfiguration(t, `{"version":7,
"routes":[{"host":"a","pathPrefix":"/x/","routeType":"odd","service":"s","timeoutMs":1000},
{"host":"A","pathPrefix":"/x/","routeType":"idempotent","backends":[{"service":"t","weight":0}],"targetLatencyMs":9}],
"services":[{"name":"s"}],"tenants":[{"name":"o","apiKeys":["secret"]},{"name":"p","apiKeys":["secret"]}]}`)
	g.Expect(code).To(gomega.Equal(exitFindings))
	for _, line := range []string{
		`2:11: error: /routes/0: kind "odd" is unknown`,
		`3:1: warning: /routes/1: has the host and path prefix of route 0`,
		`3:1: warning: /routes/1: goes to service "t", which isn't listed`,
		`/routes/1/backends: no weight is over 0`, `/routes/1/timeoutMs: not over 0`, `/routes/1/maxAttempts: under 1`,
		`/services/0/healthPath: missing`, `/tenants/1/apiKeys/0: is also a key of "o"`,
	} {
		g.Expect(output).To(gomega.ContainSubstring(line))
	}
	g.Expect(output).NotTo(gomega.ContainSubstring("secret"))

	code, output = checkConfiguration(t, `{"version":7,`)
	g.Expect(code).To(gomega.Equal(exitFindings))
	g.Expect(output).To(gomega.ContainSubstring("not JSON"))
}
