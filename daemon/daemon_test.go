package daemon_test

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/daemon"
)

// An operator starts a daemon and it panics, because the flags were built from a copy of
// the default settings where a pointer to them is needed. Both daemons must print the
// settings in force.
func TestDaemonsPrintTheirSettings(t *testing.T) {
	common := []string{
		"--id", "a", "--zone", "z", "--peer-listen", "127.0.0.1:1", "--table", "127.0.0.1:2", "--objects", "127.0.0.1:2",
	}
	daemons := map[string]struct {
		run  func([]string, io.Writer, io.Writer) int
		args []string
	}{
		"router":  {daemon.Router, []string{"--listen", "127.0.0.1:3"}},
		"sidecar": {daemon.Sidecar, []string{"--backend-server", "b", "--service", "s", "--kind", "model", "--backend", "127.0.0.1:4"}},
	}
	for name, d := range daemons {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var stdout, stderr bytes.Buffer
			args := append([]string{name, "--print-settings"}, append(common, d.args...)...)
			g.Expect(d.run(args, &stdout, &stderr)).To(Equal(0), stderr.String())
			var printed struct{ ID, PeerListen string }
			g.Expect(json.Unmarshal(stdout.Bytes(), &printed)).To(Succeed(), stdout.String())
			g.Expect(printed.ID).To(Equal("a"))
			g.Expect(printed.PeerListen).To(Equal("127.0.0.1:1"))
		})
	}
}
