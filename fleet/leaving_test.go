package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// Guards against a VM that sends work to a server which has said to another VM that it
// leaves, though datagrams are lost.
func TestLeavingServersAreToldToOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		start := directory.Start{ID: "i1", Born: 100}
		var sent atomic.Int64
		vms := map[string]*Socket{}
		dirs := map[string]*directory.Directory{}
		for _, name := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
			dirs[name] = directory.New()
			dirs[name].Apply(1, []directory.Listing{listingBornAt(start.ID, start.Born)}, false, time.Now())
			vms[name] = NewSocket(name, func() []string { return []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} }, nil)
			vms[name].write = func(raw []byte, to string) bool {
				if sent.Add(1) > 2 { // the first ones are lost
					vms[to].dispatch(name, raw, time.Now())
				}
				return true
			}
			l := NewLeaving(LeavingOptions{Socket: vms[name], Directory: dirs[name], Recorder: event.Discard()})
			go func() { _ = l.Run(ctx) }()
		}
		dirs["10.0.0.1:1"].View().Service("s")[0].ReportLeaving(time.Now())
		time.Sleep(resendInterval + time.Millisecond)
		for name, d := range dirs {
			g.Expect(d.View().Service("s")[0].Draining()).To(gomega.BeTrue(), name)
		}
		time.Sleep(time.Minute)
		g.Expect(sent.Load()).To(gomega.BeEquivalentTo(3*leavingRepeats), "only the VM that got the answer tells it")
	})
}

// Guards against a report that can't be read and takes servers out of use.
func TestUnreadableReportOfLeavingServers(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, raw := range [][]byte{nil, {1}, {1, 2, 3}, {1, 2, 3, 4, 5}} {
		_, ok := decodeLeaving(raw)
		g.Expect(ok).To(gomega.BeFalse(), "%v", raw)
	}
	servers, ok := decodeLeaving(encodeLeaving([]uint32{7, 9}).raw)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(servers).To(gomega.Equal([]uint32{7, 9}))
}
