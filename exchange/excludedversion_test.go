package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/rollout"
	"github.com/pearyard/pearyard/site"
)

// Guards against a caller that waits for a server of a version that no roll-out lets take it.
func TestStreamOfAnExcludedVersionIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(streams(5, 30*time.Millisecond, nil)), "a1", "a2")
		rollouts := rollout.New(rollout.Options{Share: 0.1, Size: func() int { return 1 }, Directory: b.dir, Recorder: event.Discard(), Metrics: prometheus.NewRegistry()})
		list := []directory.Listing{{ID: "a1", Service: "s", Zone: "a", Address: "a1", Slots: 8, Version: "v1"}}
		b.dir.Apply(2, list, false, time.Now())
		b.dir.Apply(3, append(list, directory.Listing{ID: "a2", Service: "s", Zone: "a", Address: "a2", Slots: 8, Version: "v2"}), false, time.Now())
		config := site.New(1, nil, nil, nil, site.ClientLimits{})
		config.Rollouts = map[string]site.RolloutOrder{"s": {Service: "s", Version: "v2", Duration: time.Minute, Position: 4}}
		rollouts.ApplyConfig(&site.Versioned{Config: config, Position: 4})
		rollouts.SetPhase("s", 4, rollout.Reverted, "store", time.Now())
		b.opts.Rollouts = rollouts
		req := streamRequest()
		req.LastEvent, req.Resumes = "3", "first"
		b.opts.StreamVersions = recordedVersions{req.streamID(): "v2"}
		began := time.Now()
		_, err := b.Stream(t.Context(), req, &recordingSink{start: began})
		g.Expect(err).To(gomega.MatchError(ErrVersionExcluded))
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.Ran).To(gomega.BeFalse())
		g.Expect(failure.By).To(gomega.Equal(EndedByVersion))
		g.Expect(failure.RetryAfter).To(gomega.BeNumerically(">", 0))
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 50*time.Millisecond))
	})
}
