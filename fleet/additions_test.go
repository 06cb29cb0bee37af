package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/streamversion"
)

// rowsRegistry is a registry in memory.
type rowsRegistry map[string][]byte

func (r rowsRegistry) Rows(context.Context, string) (map[string][]byte, error) {
	rows := map[string][]byte{}
	for name, address := range r {
		rows[name] = address
	}
	return rows, nil
}

func (r rowsRegistry) Put(_ context.Context, _, name string, address []byte) error {
	r[name] = address
	return nil
}

// Guards against a VM that takes itself for the holder of a record which another VM, that did not
// know of it or of yet another one, has told to others.
func TestVMsInferNoVersionWhileVMsAreAdded(t *testing.T) {
	for name, c := range map[string]struct {
		rows  rowsRegistry
		added func(r rowsRegistry) // before the second read
		mixed time.Duration        // after the first read, 10 s before the second one
		want  bool
	}{
		"nothing changes":                   {rows: rowsRegistry{"a": []byte("10.0.0.1:1"), "b": []byte("10.0.0.2:1")}, want: true},
		"this VM is new":                    {rows: rowsRegistry{"b": []byte("10.0.0.2:1")}},
		"this VM was new long before":       {rows: rowsRegistry{"b": []byte("10.0.0.2:1")}, mixed: 7 * time.Second, want: true},
		"another VM is found just after":    {rows: rowsRegistry{"a": []byte("10.0.0.1:1")}, mixed: 7 * time.Second, added: func(r rowsRegistry) { r["c"] = []byte("10.0.0.3:1") }},
		"another VM is found later":         {rows: rowsRegistry{"a": []byte("10.0.0.1:1")}, added: func(r rowsRegistry) { r["c"] = []byte("10.0.0.3:1") }, want: true},
		"another VM leaves meanwhile":       {rows: rowsRegistry{"a": []byte("10.0.0.1:1"), "c": []byte("10.0.0.3:1")}, mixed: 7 * time.Second, added: func(r rowsRegistry) { delete(r, "c") }, want: true},
		"another VM was there at the start": {rows: rowsRegistry{"a": []byte("10.0.0.1:1"), "c": []byte("10.0.0.3:1")}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := New(Options{Name: "a", Address: "10.0.0.1:1", Registry: c.rows, Directory: directory.New(), Recorder: event.Discard()})
				g.Expect(f.syncRegistry(t.Context())).To(gomega.Succeed())
				var sent []versionAnswer
				socket := NewSocket("10.0.0.1:1", nil, nil)
				socket.write = func(raw []byte, _ string) bool {
					if k, _, rest, _ := decodeHeader(raw); k == kindStreamAnswer {
						in := reader{raw: rest, ok: true}
						in.streamKey()
						sent = append(sent, in.streamAnswer())
					}
					return true
				}
				site := &findSite{}
				site.v = NewStreamVersions(StreamVersionsOptions{Address: "10.0.0.1:1", Socket: socket, Peers: f.Peers, AddedAround: f.AddedAround, Directory: directory.New(), Recorder: event.Discard()})
				site.list("v1")
				site.v.setComplete(time.Now())
				socket.handle(kindAnnouncement, func(string, header, []byte, time.Time) bool { return true })
				hear := func(during time.Duration) {
					for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
						socket.dispatch("10.0.0.2:1", encodeHeader(kindAnnouncement, header{}), time.Now())
					}
				}
				hear(c.mixed)
				site.list("v1", "v2")
				hear(10*time.Second - c.mixed)
				if c.added != nil {
					c.added(c.rows)
				}
				g.Expect(f.syncRegistry(t.Context())).To(gomega.Succeed())
				key := streamversion.Key{Service: foundKey.Service, Stream: foundKey.Stream}
				site.v.receiveQuery("10.0.0.2:1", header{}, appendStreamQuery(nil, key, time.Minute), time.Now())
				g.Expect(sent).To(gomega.HaveLen(1))
				g.Expect(sent[0].inferred).To(gomega.Equal(c.want))
			})
		})
	}
}
