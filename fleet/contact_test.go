package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/streamversion"
)

// A VM that was cut off takes a stream, whose record was told meanwhile, for one that began before.
func TestVMThatWasOutOfTouchInfersNothing(t *testing.T) {
	const maxAge = 50 * time.Second
	for name, c := range map[string]struct {
		silence time.Duration
		after   time.Duration // of the query after the silence
		want    bool          // it answers what it infers
	}{
		"heard all the time":     {time.Second, 0, true},
		"heard again just now":   {3 * time.Second, 0, false},
		"heard again for a time": {3 * time.Second, maxAge - time.Second, false},
		"longer ago":             {3 * time.Second, maxAge + time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				const peer = "10.0.0.2:1"
				sent := map[kind][]versionAnswer{}
				socket := NewSocket("10.0.0.1:1", nil, nil)
				socket.write = func(raw []byte, _ string) bool {
					k, _, rest, _ := decodeHeader(raw)
					in := reader{raw: rest, ok: true}
					if k == kindStreamAnswer {
						in.streamKey()
						sent[k] = append(sent[k], in.streamAnswer())
					} else {
						sent[k] = append(sent[k], versionAnswer{})
					}
					return true
				}
				v := NewStreamVersions(StreamVersionsOptions{
					Address: "10.0.0.1:1", Socket: socket, Peers: func() []string { return []string{peer} }, Directory: directory.New(), Recorder: event.Discard(),
				})
				socket.handle(kindAnnouncement, func(string, header, []byte, time.Time) bool { return true })
				f := &findSite{v: v}
				f.list("v1")
				v.setComplete(time.Now())
				told := streamversion.Key{Service: foundKey.Service, Stream: 8}
				v.table.Put(streamversion.Record{Key: told, Version: "v2", Until: time.Now().Add(time.Hour)}, time.Now())
				hear := func(during time.Duration) {
					for end := time.Now().Add(during); !time.Now().After(end); time.Sleep(500 * time.Millisecond) {
						socket.dispatch(peer, encodeHeader(kindAnnouncement, header{}), time.Now())
					}
				}
				hear(5 * time.Second)
				time.Sleep(c.silence)
				hear(c.after)
				f.list("v1", "v2") // what it infers is of no use maxAge later
				for _, k := range []streamversion.Key{foundKey, told} {
					v.receiveQuery(peer, header{}, appendStreamQuery(nil, k, maxAge), time.Now())
				}
				g.Expect(sent[kindStreamAnswer]).To(gomega.HaveLen(2))
				g.Expect(sent[kindStreamAnswer][0].inferred).To(gomega.Equal(c.want))
				g.Expect(sent[kindStreamAnswer][1]).To(gomega.Equal(versionAnswer{version: "v2", known: true}))
				if c.silence > contactTimeout {
					g.Expect(sent[kindStreamPull]).To(gomega.HaveLen(1), "it asks for the records that it missed")
				} else {
					g.Expect(sent[kindStreamPull]).To(gomega.BeEmpty())
				}
			})
		})
	}
}

// The monotonic clock stands still while a VM is suspended.
func TestElapsedCountsASuspension(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	g.Expect(elapsed(now, now.Round(0).Add(3*time.Second))).To(gomega.Equal(3 * time.Second))
	g.Expect(elapsed(now, now.Add(time.Second))).To(gomega.Equal(time.Second))
}
