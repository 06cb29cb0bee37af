package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/streamversion"
)

// benchVersions returns the StreamVersions of a VM among 400 whose datagrams are dropped.
func benchVersions(versions ...string) *StreamVersions {
	var peers []string
	for i := range 399 {
		peers = append(peers, vmAddress(i))
	}
	s := NewSocket(vmAddress(399), func() []string { return peers }, nil)
	s.write = func([]byte, string) bool { return true }
	v := NewStreamVersions(StreamVersionsOptions{
		Address: vmAddress(399), Socket: s, Peers: func() []string { return peers }, Directory: directory.New(), Recorder: event.Discard(), ReadList: func(context.Context) error { return nil },
	})
	v.setComplete(time.Now())
	v.history.Observe(directory.Hash("s"), versions, time.Now())
	return v
}

// BenchmarkRecordStream measures what a stream costs a VM among 400, while its service has one
// version and while it has two.
func BenchmarkRecordStream(b *testing.B) {
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		b.Run(fmt.Sprint(len(versions), " versions"), func(b *testing.B) {
			v := benchVersions(versions...)
			until := time.Now().Add(time.Minute)
			b.ReportAllocs()
			for i := range b.N {
				v.Record("s", uint64(i%4000), "v1", until)
			}
		})
	}
}

// BenchmarkSecondVersion measures what a VM among 400 with 121 streams does when a second
// version appears.
func BenchmarkSecondVersion(b *testing.B) {
	v := benchVersions("v1", "v2")
	now := time.Now()
	for i := range 121 {
		v.table.Put(streamversion.Record{Key: streamversion.Key{Service: directory.Hash("s"), Stream: uint64(i)}, Version: "v1", Until: now.Add(time.Minute), Own: true}, now)
	}
	for b.Loop() {
		v.publishOwn(directory.Hash("s"), now)
	}
}
