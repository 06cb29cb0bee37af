package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/settings"
)

const routerFile = `{
  "id": "router-1", "zone": "errol-shed",
  "listen": "127.0.0.1:8080", "peerListen": "127.0.0.1:7000",
  "table": "127.0.0.1:9000", "objects": "127.0.0.1:9000", "vmList": "127.0.0.1:9000",
  "pollSeconds": 20, "seeds": ["127.0.0.1:7001"]
}`

func file(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func env(values map[string]string) func(string) (string, bool) {
	return func(name string) (string, bool) {
		value, ok := values[name]
		return value, ok
	}
}

// loadWith loads a router's settings from sources and command line arguments.
func loadWith(t *testing.T, sources settings.Sources, args ...string) (settings.Router, findings.List) {
	t.Helper()
	var router settings.Router
	var list findings.List
	defaults := settings.DefaultRouter()
	app := &cli.App{Flags: settings.Flags(&defaults), Action: func(c *cli.Context) error {
		sources.Flags = c
		router, list = settings.LoadRouter(sources)
		return nil
	}}
	if err := app.Run(append([]string{"router"}, args...)); err != nil {
		t.Fatal(err)
	}
	return router, list
}

func TestPrecedence(t *testing.T) {
	g := NewWithT(t)
	sources := settings.Sources{File: file(t, routerFile), Env: env(map[string]string{
		"PEARYARD_POLL_SECONDS": "30", "PEARYARD_ZONE": "inch-office", "PEARYARD_VM_LIST": "127.0.0.1:9009"})}
	router, list := loadWith(t, sources, "--poll-seconds", "40", "--seeds", "127.0.0.1:1, 127.0.0.1:2")
	g.Expect(list).To(BeEmpty())
	g.Expect(router.PollSeconds).To(Equal(40))
	g.Expect(router.Zone).To(BeEquivalentTo("inch-office"))
	g.Expect(router.VMList).To(Equal("127.0.0.1:9009"))
	g.Expect(router.Listen).To(Equal("127.0.0.1:8080"))
	g.Expect(router.Seeds).To(Equal([]string{"127.0.0.1:1", "127.0.0.1:2"}))
	g.Expect(router.EventRing).To(Equal(settings.DefaultEventRing))
	g.Expect(router.AdvertiseAddress()).To(Equal("127.0.0.1:7000"))
}

func TestAllFindingsTogether(t *testing.T) {
	g := NewWithT(t)
	sources := settings.Sources{Env: env(map[string]string{"PEARYARD_EVENT_RING": "many", "PEARYARD_TABLE": "table:1"}), File: file(t, `{
  "id": "router 1", "zone": 7,
  "listen": "0.0.0.0:8080", "peerListen": "0.0.0.0:8080",
  "adminListen": "127.0.0.1:7001", "lissten": ""
}`)}
	_, list := loadWith(t, sources, "--log-level", "loud")
	g.Expect(list.String()).To(Equal(`error: /adminToken: needed with adminListen
error: /advertise: needed, since peerListen 0.0.0.0:8080 names no address that others can reach
error: /eventRing: "many" is not a whole number (from $PEARYARD_EVENT_RING)
error: /logLevel: "loud" is not one of debug, info, warn, error (from --log-level)
error: /objects: needed
warning: /seeds: neither seeds nor vmList is set: the process can't find its peers by itself
error: /table: "table:1" is not an ip:port to connect to (from $PEARYARD_TABLE)
2:9: error: /id: "router 1" is not a valid name: need 1 to 128 letters, digits and . _ : / -, the first a letter or digit
2:29: error: /zone: 7 is not a string
3:43: error: /peerListen: 0.0.0.0:8080 is also the address of /listen
4:47: error: /lissten: unknown setting "lissten"`))
}

func TestInvalidFile(t *testing.T) {
	for content, want := range map[string]string{
		"[]":                  "1:1: error: the settings are not a JSON object",
		"{":                   "1:2: error: not JSON",
		`{"id":"a","id":"b"}`: `given twice in one object`,
	} {
		_, list := settings.LoadRouter(settings.Sources{File: file(t, content)})
		NewWithT(t).Expect(list.String()).To(ContainSubstring(want))
	}
	_, list := settings.LoadRouter(settings.Sources{File: filepath.Join(t.TempDir(), "none.json")})
	NewWithT(t).Expect(list.String()).To(ContainSubstring("settings file: open"))
}

// A backend server that listens on another interface than loopback can be reached
// without its sidecar, so that a caller's non-idempotent call could run twice.
func TestSidecarBackendIsOnLoopback(t *testing.T) {
	g := NewWithT(t)
	values := map[string]string{"PEARYARD_ID": "s", "PEARYARD_ZONE": "z", "PEARYARD_PEER_LISTEN": "127.0.0.1:0",
		"PEARYARD_TABLE": "127.0.0.1:1", "PEARYARD_OBJECTS": "127.0.0.1:1", "PEARYARD_SEEDS": "127.0.0.1:2",
		"PEARYARD_BACKEND_SERVER": "b", "PEARYARD_SERVICE": "s", "PEARYARD_KIND": "plain", "PEARYARD_BACKEND": "127.0.0.1:3"}
	_, list := settings.LoadSidecar(settings.Sources{Env: env(values)})
	g.Expect(list).To(BeEmpty())
	values["PEARYARD_BACKEND"] = "10.0.0.1:3"
	_, list = settings.LoadSidecar(settings.Sources{Env: env(values)})
	g.Expect(list.String()).To(Equal("error: /backend: 10.0.0.1:3 is not on the loopback interface (from $PEARYARD_BACKEND)"))
}

func TestPrintMasksSecrets(t *testing.T) {
	g := NewWithT(t)
	router := settings.DefaultRouter()
	router.AdminToken = "do-not-show-this-token"
	printed := string(settings.Print(&router))
	g.Expect(printed).To(ContainSubstring(`"adminToken": "***"`))
	g.Expect(printed).NotTo(ContainSubstring("do-not-show"))
	g.Expect(router.AdminToken).To(Equal("do-not-show-this-token"))
}
