package fleet

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/streamversion"
)

// oddNumbers are numbers that no row can have been given.
var oddNumbers = []string{"9223372036854775807", "-9223372036854775808", "-1", "9223372036", "9000000000", "18446744073709551615", strings.Repeat("9", 400), "1e999", "-1e999", "8.5", "1e18",
	`"x"`, "null", "true", "[]", "{}", strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000)}

// versionRowWith returns a VM's row with a stream that expires at a second of the store's clock.
func versionRowWith(served, expires string) []byte {
	return fmt.Appendf(nil, `{"versions":[{"service":%d,"version":"v9","servedUntilMs":%s,"streams":{"7":%s}}]}`, directory.Hash("s"), served, expires)
}

// Another writer overwrites the row of a VM. Guards against streams that are remembered for
// years, and then take the place of the true ones in the table and in the VM's own row.
func TestOddRowOfStreamVersions(t *testing.T) {
	for _, number := range oddNumbers {
		for _, row := range [][]byte{versionRowWith("100000", number), versionRowWith(number, "160"), versionRowWith(number, number)} {
			for _, own := range []bool{false, true} {
				t.Run(fmt.Sprintf("%.80s %v", row[12:], own), func(t *testing.T) {
					g := gomega.NewWithT(t)
					v := benchVersions("v1", "v2")
					v.opts.Recorder = event.Discard()
					now := time.Now()
					clock := &storeClock{100 * time.Second, now}
					v.rows.clock.Store(clock)
					v.rows.merge(clock, row, own)
					for _, r := range v.table.Select(now, func(streamversion.Record) bool { return true }) {
						g.Expect(r.Until).To(gomega.BeTemporally("<=", now.Add(65535*time.Second)))
					}
					v.Record("s", 8, "v1", now.Add(time.Minute))
					g.Expect(v.rows.encode(now).Versions).To(gomega.ContainElement(gomega.HaveField("Streams", gomega.HaveKey(uint64(8)))))
					for _, e := range v.opts.Recorder.Entries("") {
						g.Expect(len(e.Fields["err"])).To(gomega.BeNumerically("<", 1000))
					}
				})
			}
		}
	}
}

// A VM's own row names more streams than a row holds, which expire in years. Guards against rows
// that keep none of the true streams, in the process that reads it and in all later ones.
func TestStreamsThatNeverExpireDisplaceNoOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	v := benchVersions("v1", "v2")
	now := time.Now()
	clock := &storeClock{100 * time.Second, now}
	v.rows.clock.Store(clock)
	var streams []string
	for i := range maxRowStreams {
		streams = append(streams, fmt.Sprintf(`"%d":%d`, 1000+i, 7_000_000_000+i))
	}
	v.rows.merge(clock, fmt.Appendf(nil, `{"versions":[{"service":%d,"version":"v1","servedUntilMs":100000,"streams":{%s}}]}`, directory.Hash("s"), strings.Join(streams, ",")), true)
	v.Record("s", 8, "v1", now.Add(time.Minute))
	g.Expect(v.rows.encode(now).Versions).To(gomega.ContainElement(gomega.HaveField("Streams", gomega.HaveKey(uint64(8)))))
}

// Guards against a row that is never removed, and a version that counts as one that serves, by a
// time that is years ahead.
func TestVersionServedInTheFutureIsNoVersion(t *testing.T) {
	for _, served := range []string{"9223372036854775807", "9000000000000"} {
		g := gomega.NewWithT(t)
		v := benchVersions("v1")
		clock := &storeClock{100 * time.Second, time.Now()}
		g.Expect(v.rows.merge(clock, versionRowWith(served, "160"), false)).To(gomega.BeFalse())
		g.Expect(v.history.Served(time.Now())).To(gomega.HaveLen(1))
		g.Expect(v.table.Select(time.Now(), func(streamversion.Record) bool { return true })).To(gomega.BeEmpty())
	}
}

// Another writer leaves odd rows in the table of entry VMs. Guards against peers that can't be
// reached, true ones that are missing, and a long log line.
func TestOddRowsOfEntryVMs(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newVM(t, "a", "1.1.1.1:1")
	v.opts.Recorder = event.Discard()
	registry := v.opts.Registry.(*fakeRegistry)
	odd := append([]string{"", "2.2.2.2:0", "2.2.2.2:-1", "2.2.2.2:65536", "2.2.2.2:99999999", "2.2.2.2:" + strings.Repeat("9", 400), "2.2.2.2", ":1", "host:1", "[::]:1", "[fe80::1%x]:1", "224.0.0.1:1", "255.255.255.255", "\xff\xfe",
		`"2.2.2.2:2"`, "2.2.2.2:2\n", strings.Repeat("[", 100_000), strings.Repeat("x", 1<<20)}, oddNumbers...)
	for i, value := range odd {
		registry.rows[fmt.Sprint(strings.Repeat("k", 300), i)] = []byte(value)
		registry.rows[fmt.Sprint("\xff\x00", i)] = nil
	}
	registry.rows["b"] = []byte("2.2.2.2:2")
	registry.rows["c"] = []byte("[2001:db8::1]:3")
	for range 3 {
		g.Expect(v.syncRegistry(t.Context())).To(gomega.Succeed())
	}
	g.Expect(v.Peers()).To(gomega.ConsistOf("2.2.2.2:2", "[2001:db8::1]:3"))
	logged := v.opts.Recorder.Entries("")
	g.Expect(logged).To(gomega.HaveLen(1))
	g.Expect(len(fmt.Sprint(logged[0].Fields))).To(gomega.BeNumerically("<", 4096))
}

// Guards against a datagram of impossible numbers that ends the process or takes a server out of
// use. Loads and places that a VM reports are believed, as true ones are.
func TestOddDatagrams(t *testing.T) {
	for k := range kind(lastKind + 2) {
		for i, odd := range oddBodies {
			t.Run(fmt.Sprint(k, " ", i), func(t *testing.T) {
				g := gomega.NewWithT(t)
				d := directory.New()
				now := time.Now()
				d.Apply(1, []directory.Listing{{ID: "a1", Born: 100, Service: "s", Address: "10.0.0.1:80", Slots: 1}}, false, now)
				s := NewSocket("", func() []string { return nil }, nil)
				s.SetRecorder(event.Discard())
				handleAll(s, d)
				for _, h := range []header{{incarnation: 3, seq: 4}, {incarnation: math.MaxUint64, seq: math.MaxUint32}} {
					s.dispatch("p", append(encodeHeader(k, h), odd...), now)
				}
				g.Expect(d.View().Len()).To(gomega.Equal(1))
				g.Expect(d.Pick(directory.Query{Service: "s"}, now.Add(time.Minute))).NotTo(gomega.BeNil())
				g.Expect(len(s.recorder.Entries(""))).To(gomega.BeNumerically("<=", 1))
			})
		}
	}
}

// A datagram names an incarnation that no clock has given. Guards against all later datagrams of
// its sender, and of whoever gets its address, counting as late ones.
func TestImpossibleIncarnationBlocksNoSender(t *testing.T) {
	for _, incarnation := range []uint64{math.MaxUint64, math.MaxInt64} {
		g := gomega.NewWithT(t)
		d := directory.New()
		now := time.Now()
		d.Apply(1, []directory.Listing{{ID: "a1", Service: "s", Address: "10.0.0.1:80", Slots: 1}}, false, now)
		s := NewSocket("", func() []string { return nil }, nil)
		loads, _ := handleAll(s, d)
		latest := header{incarnation: uint64(now.UnixNano()), seq: 1}
		for _, h := range []header{{incarnation: incarnation, seq: math.MaxUint32}, latest} {
			s.dispatch("p", append(encodeHeader(kindLoads, h), encodeLoads(nil, nil).raw...), now)
		}
		g.Expect(loads.senders["p"].header).To(gomega.Equal(latest))
	}
}
