package streamversion

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against an organisation that resumes the stream of another one.
func TestStreamIDBelongsToAnOrganisation(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(StreamID("a", "r1")).NotTo(gomega.Equal(StreamID("b", "r1")))
	g.Expect(StreamID("a", "r1")).NotTo(gomega.Equal(StreamID("a", "r2")))
	g.Expect(StreamID("ab", "c")).NotTo(gomega.Equal(StreamID("a", "bc")))
}

// Guards against a record that changes its version: what came first decides.
func TestPutKeepsTheFirstVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	table, k := NewTable(), Key{1, 2}
	g.Expect(table.Put(Record{Key: k, Version: "v1", Until: now.Add(time.Minute)}, now)).To(gomega.BeTrue())
	table.Put(Record{Key: k, Version: "v2", Until: now.Add(2 * time.Minute), Own: true}, now)
	got, known := table.Get(k, now)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(got).To(gomega.Equal(Record{Key: k, Version: "v1", Until: now.Add(2 * time.Minute), Own: true}))
	_, known = table.Get(k, now.Add(2*time.Minute))
	g.Expect(known).To(gomega.BeFalse())
	table.Put(Record{Key: k, Version: "v2", Until: now.Add(4 * time.Minute)}, now.Add(3*time.Minute))
	got, _ = table.Get(k, now.Add(3*time.Minute))
	g.Expect(got.Version).To(gomega.Equal("v2"), "the former record has expired")
}

// Guards against unbounded memory.
func TestTableIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	table := NewTable()
	for i := range maxRecords {
		g.Expect(table.Put(Record{Key: Key{1, uint64(i)}, Until: now.Add(time.Minute)}, now)).To(gomega.BeTrue())
	}
	g.Expect(table.Put(Record{Key: Key{2, 0}, Until: now.Add(time.Minute)}, now)).To(gomega.BeFalse())
	g.Expect(table.Put(Record{Key: Key{2, 0}, Until: now.Add(3 * time.Minute)}, now.Add(2*time.Minute))).To(gomega.BeTrue(), "expired records make room")
	g.Expect(table.Expire(now.Add(2 * time.Minute))).To(gomega.Equal(1))
}

// A record that names a start keeps its caller from the version that became known later.
func TestRecordOfAStartTakesTheVersionThatIsKnownLater(t *testing.T) {
	g := gomega.NewWithT(t)
	table, now := NewTable(), time.Now()
	key := Key{Service: 1, Stream: 2}
	for _, version := range []string{OfStart("a1#200"), "v2", "v1"} {
		table.Put(Record{Key: key, Version: version, Until: now.Add(time.Minute)}, now)
	}
	r, _ := table.Get(key, now)
	g.Expect(r.Version).To(gomega.Equal("v2"))
}
