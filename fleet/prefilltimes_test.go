package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

func newThreeServers() *directory.Directory {
	d := directory.New()
	d.Apply(1, []directory.Listing{{ID: "i1", Service: "s", Address: "i1"}, {ID: "i2", Service: "s", Address: "i2"}, {ID: "i3", Service: "s", Address: "i3"}}, false, time.Now())
	return d
}

// Guards against a VM that takes a slow server for a normal one until it has sent it a
// prompt itself.
func TestPrefillTimesReachOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		here, there := newThreeServers(), newThreeServers()
		receiver := NewSocket("there", func() []string { return nil }, nil)
		NewPrefillTimes(receiver, func() []string { return nil }, there)
		sender := NewSocket("here", func() []string { return nil }, nil)
		sent := 0
		sender.write = func(raw []byte, _ string) bool {
			sent++
			receiver.dispatch("here", raw, time.Now())
			return true
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = NewPrefillTimes(sender, func() []string { return []string{"there"} }, here).Run(ctx) }()
		for i, server := range here.View().Service("s") {
			prompt := server.BeginStream(8000)
			time.Sleep(time.Duration(i+1) * time.Second)
			prompt.PromptPrefilled()
			prompt.End()
		}
		time.Sleep(time.Second)
		there.Pick(directory.Query{Service: "s", Prompt: 8000}, time.Now())
		g.Expect(there.View().Service("s")[2].Slowness()).To(gomega.BeNumerically("~", 1.5, 0.01))
		time.Sleep(time.Minute)
		g.Expect(sent).To(gomega.Equal(3), "each measurement is sent once")
	})
}

func FuzzDecodePrefillTimes(f *testing.F) {
	f.Add(encodePrefillTimes([]directory.PrefillTime{{Server: 3, PerToken: 125 * time.Microsecond}, {Server: 4, PerToken: time.Hour}}).raw)
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, raw []byte) {
		times, ok := decodePrefillTimes(raw)
		if !ok {
			return
		}
		encoded := encodePrefillTimes(times).raw
		if len(raw) <= maxDatagram-headerBytes && string(encoded) != string(raw) {
			t.Fatalf("%x became %x", raw, encoded)
		}
	})
}
