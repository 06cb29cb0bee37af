package entry

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/platform"
)

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

// An operator checks a VM's settings before it serves: good ones are shown as
// they were understood, faulty ones are told all at once with their places.
func TestCheckOfSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	code, out, _ := check(t, `{nodeName: e, ip: 10.0.0.1, zone: z, listen: {frontend: "10.0.0.1:1", ready: "10.0.0.1:2"}, internalPortRange: [7, 9],
platform: {address: "10.0.0.2:3"}, bounds: {drainTimeoutMs: 2000, gracePeriodS: 8, configApplyMs: 2000, retryWindowS: 10}}`)
	g.Expect(code).To(gomega.BeZero())
	g.Expect(out).To(gomega.ContainSubstring(`"Store": "10.0.0.2:3"`))

	code, _, errs := check(t, `{nodeName: e}`)
	g.Expect(code).To(gomega.Equal(exitFindings))
	g.Expect(errs).To(gomega.ContainSubstring("/zone"))
	g.Expect(errs).To(gomega.ContainSubstring("/platform/address"))

	t.Setenv(platform.SettingsVariable, filepath.Join(t.TempDir(), "none"))
	g.Expect(Main([]string{"pearyard-entry", "--check"}, &bytes.Buffer{}, &bytes.Buffer{})).To(gomega.Equal(exitFailed))
}
