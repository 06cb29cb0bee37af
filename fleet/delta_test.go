package fleet

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	fleetpb "github.com/pearyard/pearyard/rpc/fleet"
	"github.com/pearyard/pearyard/types"
)

// randomText returns a text that compresses to no less than half.
func randomText(length int) []byte {
	r := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, length)
	for i := range text {
		text[i] = byte(' ' + r.IntN(64))
	}
	return text
}

// configText returns a configuration with many routes, one of which differs by its
// timeout.
func configText(routes, changed int) []byte {
	var out bytes.Buffer
	for i := range routes {
		timeout := 25000
		if i == changed {
			timeout = 24000
		}
		fmt.Fprintf(&out, `{"host":"%x.example","prefix":"/%x/","service":"pear","timeoutMs":%d,"targetLatencyMs":4500},`, i*7919, i*104729, timeout)
	}
	return out.Bytes()
}

func TestDeltaOfALargeTextIsSmall(t *testing.T) {
	g := gomega.NewWithT(t)
	old, text := configText(2000, -1), configText(2000, 1200)
	g.Expect(len(old)).To(gomega.BeNumerically(">", 200_000))
	delta, err := makeDelta(old, text)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(delta)).To(gomega.BeNumerically("<", maxDeltaBytes))
	got, err := applyDelta(old, delta)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(bytes.Equal(got, text)).To(gomega.BeTrue())
}

// Guards against a delta that is applied to another text than the one it was made for.
func TestDeltaForAnotherTextIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	delta, err := makeDelta(configText(100, -1), configText(100, 40))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = applyDelta(configText(100, 7), delta)
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = applyDelta(configText(100, -1), delta[:len(delta)-1])
	g.Expect(err).To(gomega.HaveOccurred())
	ahead, behind := newVM(t, "ahead"), newVM(t, "behind")
	for _, v := range []*vm{ahead, behind} {
		text, _ := decodeConfig(5, configText(100, map[*vm]int{ahead: -1, behind: 7}[v]))
		v.holder.Offer(text)
		v.Applied(text)
	}
	text, _ := decodeConfig(6, configText(100, 40))
	ahead.holder.Offer(text)
	ahead.Applied(text)
	behind.Fetch(t.Context(), ahead.opts.Address, 0, false)
	g.Expect(behind.holder.Position()).To(gomega.BeNumerically("==", 5))
}

// Guards against VMs that read each of several successive changes from the store: one that
// is a few versions behind gets them as one delta.
func TestSuccessiveChangesAreSentAsOneDelta(t *testing.T) {
	g := gomega.NewWithT(t)
	ahead, behind := newVM(t, "ahead"), newVM(t, "behind")
	for i := range maxOldVersions + 2 {
		text, _ := decodeConfig(types.Position(5+i), configText(100, i))
		ahead.holder.Offer(text)
		ahead.Applied(text)
	}
	query := func(since types.Position) *fleetpb.NewestResponse {
		answer, err := ahead.Newest(t.Context(), &fleetpb.NewestRequest{ConfigPosition: uint64(since), ChangesOnly: true})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return answer
	}
	g.Expect(query(5).GetConfig()).To(gomega.BeEmpty(), "this version is no longer kept")
	g.Expect(query(5+maxOldVersions+1).GetConfig()).To(gomega.BeEmpty(), "the peer has the newest version")
	old, _ := decodeConfig(6, configText(100, 1))
	behind.holder.Offer(old)
	behind.Fetch(t.Context(), ahead.opts.Address, 0, false)
	g.Expect(behind.holder.Position()).To(gomega.BeNumerically("==", 5+maxOldVersions+1))
	g.Expect(behind.holder.Current().Raw).To(gomega.Equal(ahead.holder.Current().Raw))
}
