package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/types"
)

// listVersion puts a list of one server in force.
func (b *testbed) listVersion(position types.Position, born int64, version string) {
	b.dir.Apply(position, []directory.Listing{{ID: "a1", Born: born, Service: "s", Zone: "a", Address: "a1", Slots: 8, Version: version}}, false, time.Now())
}

// A VM whose list is old finds a process of the next version at the address of the former one,
// takes it for a restart of that version, and has it go on with a stream.
func TestStreamDoesNotGoOnAtAProcessOfAnAssumedVersion(t *testing.T) {
	const confirmedAfter = time.Second
	for version, goesOn := range map[string]bool{"v1": true, "v2": false} {
		t.Run("it runs "+version, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(map[string][]script{"a1": {streams(5, 30*time.Millisecond, errors.New("reset")), streams(10, 30*time.Millisecond, nil)}}, "a1")
				b.listVersion(2, 100, "v1")
				var confirmedAt time.Time
				time.AfterFunc(100*time.Millisecond, func() {
					b.dir.RecordRestart(b.dir.View().Service("s")[0], directory.Start{ID: "a1", Born: 200}, time.Now())
					b.backend.mu.Lock()
					b.backend.born["a1"] = 200
					b.backend.mu.Unlock()
					time.Sleep(confirmedAfter)
					confirmedAt = time.Now()
					b.listVersion(3, 200, version)
				})
				sink := &recordingSink{start: time.Now()}
				_, err := b.Stream(t.Context(), streamRequest(), sink)
				ended := time.Now()
				time.Sleep(2 * confirmedAfter) // what is in progress ends
				sent := b.backend.sent()
				if !goesOn {
					g.Expect(err).To(gomega.MatchError(ErrVersionGone))
					g.Expect(sent).To(gomega.HaveLen(1))
					return
				}
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.HaveLen(10))
				g.Expect(sent).To(gomega.HaveLen(2))
				g.Expect(ended.Sub(confirmedAt)).To(gomega.BeNumerically(">=", 5*30*time.Millisecond), "it went on before the list named the version")
			})
		})
	}
}

// recordedVersions holds records, and knows a stream without one as of v1.
type recordedVersions map[uint64]string

// Record implements StreamVersions.
func (r recordedVersions) Record(_ string, stream uint64, version string, _ time.Time) {
	r[stream] = version
}

// Find implements StreamVersions.
func (r recordedVersions) Find(_ context.Context, _ string, stream uint64, _ time.Duration) (version, how string, ok bool) {
	if version, ok = r[stream]; ok {
		return version, "record", true
	}
	return "v1", "before", true
}

// A stream that began at a process of an assumed version has no record, and its caller comes
// back as one of a stream of the former version.
func TestStreamThatBeganAtAnAssumedVersionIsOfTheVersionListedLater(t *testing.T) {
	for name, c := range map[string]struct {
		listed, version string // version of the process in the list later; "": it is not listed
		known           bool
	}{
		"it ran the next version":   {"v2", "v2", true},
		"it ran the former version": {"v1", "v1", true},
		"it is gone":                {"", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(map[string][]script{"a1": {streams(5, 30*time.Millisecond, errors.New("reset"))}}, "a1")
				b.opts.StreamVersions = recordedVersions{}
				b.listVersion(2, 100, "v1")
				b.dir.RecordRestart(b.dir.View().Service("s")[0], directory.Start{ID: "a1", Born: 200}, time.Now())
				b.backend.mu.Lock()
				b.backend.born["a1"] = 200
				b.backend.mu.Unlock()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				sink := &recordingSink{start: time.Now()}
				_, _ = b.Stream(ctx, streamRequest(), sink)
				g.Expect(sink.ids).NotTo(gomega.BeEmpty())
				if c.listed != "" {
					b.listVersion(3, 200, c.listed)
				} else {
					b.dir.Apply(3, nil, false, time.Now())
				}
				returns := streamRequest()
				returns.ID, returns.LastEvent, returns.Resumes = "r2", "3", "r1"
				version, _, known := b.findOrigin(t.Context(), returns)
				g.Expect(known).To(gomega.Equal(c.known))
				g.Expect(version).To(gomega.Equal(c.version))
				time.Sleep(time.Minute) // what is in progress ends
			})
		})
	}
}
