package suspect

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/event"
	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
	"github.com/pearyard/pearyard/types"
)

// oddRowValues are values of rows that another writer may have left.
var oddRowValues = []string{
	``, `null`, `[]`, `{}`, `"x"`, `7`, `true`, "\xff\xfe", `{"fingerprint":` + strings.Repeat("9", 400) + `}`, `{"fingerprint":1e999}`, `{"fingerprint":-1}`,
	strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000), strings.Repeat("[", 1<<20), `{"fingerprint":7,"future":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `}`,
	`{"fingerprint":7,"until":1e999}`, `{"fingerprint":7,"until":"99999-01-01T00:00:00Z"}`, `{"fingerprint":7,"until":"9999-12-31T23:59:59Z"}`, `{"fingerprint":7,"until":"9999-12-31T23:59:59-23:59"}`,
	`{"fingerprint":7,"deaths":[{"id":"a/1","at":"9999-12-31T23:59:59Z"},{"id":"b/1","at":"9999-12-31T23:59:59Z"}]}`,
	`{"fingerprint":7,"deaths":[{"id":"a/1","at":"2199-01-01T00:00:00Z"},{"id":"b/1","at":"2199-01-01T00:00:00Z"}]}`,
	`{"fingerprint":7,"deaths":[{"id":"a/1","at":"0000-01-01T00:00:00Z"},{"id":"b/1","at":"0000-01-01T00:00:00Z"}]}`,
	`{"fingerprint":7,"deaths":[null,7,{}]}`, `{"fingerprint":7,"deaths":{}}`, `{"fingerprint":7,"deaths":[{"id":7,"at":[]}]}`,
}

// Another writer overwrites rows. Guards against a process that ends, misses the valid rows, or
// refuses a request for years.
func TestOddRowsOfQuarantines(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	valid, err := json.Marshal(Entry{Fingerprint: poison, Until: now.Add(time.Minute)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	table := &memoryTable{rows: map[string]backing.Row{tablePrefix + poison.String(): {Key: tablePrefix + poison.String(), Value: valid, Version: 1}}}
	for i, value := range append(oddRowValues, "") {
		key := tablePrefix + types.Fingerprint(1000+i).String()
		table.rows[key] = backing.Row{Key: key, Value: []byte(value), Version: 1}
	}
	recorder := event.Discard()
	l := New(Options{Table: table, Recorder: recorder})
	g.Expect(l.load(t.Context(), &tableState{})).To(gomega.BeTrue())
	g.Expect(l.Verdict(poison).State).To(gomega.Equal(Quarantined))
	g.Expect(l.Verdict(7).State).To(gomega.Equal(Clear))
	l.flush(t.Context(), &tableState{})
	logged := recorder.Entries("")
	g.Expect(logged).To(gomega.ContainElement(gomega.HaveField("ID", eventRowsInvalid.ID())))
	for _, e := range logged {
		g.Expect(len(fmt.Sprint(e.Fields))).To(gomega.BeNumerically("<", 4096), e.Name)
	}
}

// Guards against entries of a peer that quarantine a request for years, and hide the others.
func TestOddEntriesOfAPeer(t *testing.T) {
	for _, at := range []int64{math.MaxInt64, time.Now().Add(100 * 24 * time.Hour).UnixNano(), math.MinInt64, -1} {
		g := gomega.NewWithT(t)
		l := New(Options{})
		_, err := l.Server().Exchange(t.Context(), &suspectpb.ExchangeRequest{Since: math.MaxUint64, Ledger: 7, Pull: true, Entries: []*suspectpb.Entry{
			nil,
			{Fingerprint: 7, QuarantinedUntilUnixNano: at},
			{Fingerprint: 8, Deaths: []*suspectpb.Death{nil, {Id: "a/1", AtUnixNano: at}, {Id: "b/1", AtUnixNano: at}, {Id: strings.Repeat("x", 1<<20), AtUnixNano: at}}},
			{Fingerprint: uint64(poison), QuarantinedUntilUnixNano: time.Now().Add(time.Minute).UnixNano()},
		}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(l.Verdict(7).State).To(gomega.Equal(Clear), "until %d", at)
		g.Expect(l.Verdict(8).State).To(gomega.Equal(Clear), "deaths at %d", at)
		g.Expect(l.Verdict(poison).State).To(gomega.Equal(Quarantined))
	}
}

// The value of a row of the table of quarantines is arbitrary.
func FuzzQuarantineRow(f *testing.F) {
	for _, value := range oddRowValues {
		if len(value) <= 1<<12 {
			f.Add([]byte(value))
		}
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		e, err := decodeRow(value)
		if err == nil {
			requireSoundMerge(t, []Entry{e})
		}
	})
}

// What a peer sends of its ledger is arbitrary.
func FuzzExchange(f *testing.F) {
	raw, err := proto.Marshal(&suspectpb.ExchangeRequest{Pull: true, Since: 3, Entries: []*suspectpb.Entry{
		{Fingerprint: 7, QuarantinedUntilUnixNano: math.MaxInt64, Deaths: []*suspectpb.Death{{Id: "a/1", AtUnixNano: math.MinInt64}}}, {Fingerprint: 8, Excused: []*suspectpb.Death{{Excuse: "x"}}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var in suspectpb.ExchangeRequest
		if proto.Unmarshal(raw, &in) == nil {
			requireSoundMerge(t, fromWire(in.GetEntries()))
		}
	})
}

// requireSoundMerge merges entries beside a valid one and fails if that is missing, one lasts
// for years, or a ledger's state can't be sent or stored.
func requireSoundMerge(t *testing.T, entries []Entry) {
	t.Helper()
	const valid = types.Fingerprint(0xabcdef0123456789)
	now := time.Now()
	l := New(Options{})
	l.Merge(append(entries, Entry{Fingerprint: valid, Until: now.Add(time.Minute)}))
	if l.Verdict(valid).State != Quarantined {
		t.Fatal("the valid entry is missing")
	}
	deltas, _ := l.Deltas(0)
	for _, e := range deltas {
		if e.Until.After(now.Add(365 * 24 * time.Hour)) {
			t.Fatalf("quarantined until %v", e.Until)
		}
		if _, ok := l.encodeRow(e.Fingerprint); !ok {
			t.Fatalf("%+v can't be stored", e)
		}
	}
	if _, err := proto.Marshal(&suspectpb.ExchangeResponse{Entries: toWire(deltas)}); err != nil {
		t.Fatal(err)
	}
	l.expire()
}
