package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/types"
)

// prefillAlone has each server prefill one prompt, with none ahead of it, in the given
// seconds.
func prefillAlone(d *Directory, seconds map[string]float64) {
	for id, s := range seconds {
		prefillIn(d.server(id), 8000, time.Duration(s*float64(time.Second)))
	}
}

// currentSlowness returns a server's slowness after a new comparison.
func currentSlowness(d *Directory, id string) float64 {
	time.Sleep(slownessInterval)
	d.Pick(Query{Service: "s", Prompt: 8000}, time.Now())
	return d.server(id).Slowness()
}

// Guards against slow servers that are preferred as much as fast ones.
func TestSlownessIsRelativeToTheMedianServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withServers("a1", "a2", "a3", "a4")
		prefillAlone(d, map[string]float64{"a1": 1, "a2": 2, "a3": 4})
		g.Expect(currentSlowness(d, "a1")).To(gomega.BeNumerically("~", 0.5, 0.001))
		g.Expect(currentSlowness(d, "a2")).To(gomega.BeNumerically("~", 1, 0.001))
		g.Expect(currentSlowness(d, "a3")).To(gomega.BeNumerically("~", 2, 0.001))
		g.Expect(currentSlowness(d, "a4")).To(gomega.BeNumerically("==", 1), "no samples")
		g.Expect(d.PrefillSpeed(d.server("a3"), time.Now())).To(gomega.BeNumerically("~", 2000, 1))
	})
}

// Guards against a busy server that counts as slow because prompts waited there.
func TestPromptBehindAnotherIsNoSample(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := withServers("a1", "a2")
		prefillAlone(d, map[string]float64{"a1": 1, "a2": 1})
		d.server("a2").setPeerLoad(Load{Streams: 1, Prefill: 8000})
		for range samplesPerServer {
			prefillIn(d.server("a2"), 8000, 3*time.Second)
		}
		gomega.NewWithT(t).Expect(currentSlowness(d, "a2")).To(gomega.BeNumerically("~", 1, 0.001))
	})
}

// Guards against all prompts going to a server that had those of returning callers in its
// cache, so that their first events came at once.
func TestCachedPromptsMakeNoFastServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := withServers("a1", "a2", "a3")
		prefillAlone(d, map[string]float64{"a1": 1, "a2": 1, "a3": 1})
		currentSlowness(d, "a1")
		for range samplesPerServer {
			prefillIn(d.server("a1"), 8000, 20*time.Millisecond)
		}
		gomega.NewWithT(t).Expect(currentSlowness(d, "a1")).To(gomega.BeNumerically("~", 1, 0.001))
	})
}

// Guards against a server that is avoided because a prompt of another process, unknown
// here, was once prefilled first.
func TestOneLongSampleMakesNoSlowServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := withServers("a1", "a2", "a3")
		prefillAlone(d, map[string]float64{"a1": 1, "a2": 1, "a3": 1})
		prefillAlone(d, map[string]float64{"a1": 3})
		gomega.NewWithT(t).Expect(currentSlowness(d, "a1")).To(gomega.BeNumerically("~", 1, 0.001))
	})
}

// Guards against a server that stays avoided for good after it has recovered.
func TestOldSampleIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withServers("a1", "a2", "a3")
		prefillAlone(d, map[string]float64{"a1": 8, "a2": 1, "a3": 1})
		g.Expect(currentSlowness(d, "a1")).To(gomega.BeNumerically(">", 4))
		time.Sleep(sampleTTL)
		g.Expect(currentSlowness(d, "a1")).To(gomega.BeNumerically("==", 1))
	})
}

// Guards against servers whose speed is unknown after each of their restarts.
func TestSamplesOutliveARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := withServers("a1", "a2", "a3")
		prefillAlone(d, map[string]float64{"a1": 2, "a2": 1, "a3": 1})
		restarted := listing("a9", "a2", "a3")
		restarted[0].Address = "a1"
		d.Apply(2, restarted, false, time.Now())
		gomega.NewWithT(t).Expect(currentSlowness(d, "a9")).To(gomega.BeNumerically("~", 2, 0.001))
	})
}

// Guards against samples of abandoned addresses that are kept for good.
func TestSamplesOfUnusedAddressesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := withServers("a1")
		for i := range 50 {
			time.Sleep(sampleTTL)
			d.Apply(types.Position(i+2), listing(fmt.Sprint("b", i)), false, time.Now())
			prefillIn(d.server(fmt.Sprint("b", i)), 8000, time.Second)
		}
		gomega.NewWithT(t).Expect(len(d.samples)).To(gomega.BeNumerically("<=", 4))
	})
}

// Guards against a VM that knows only its own measurements, and against a report on an
// unknown start that is applied to another one.
func TestSamplesAreSentOnceAndCountAtPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d, other := withServers("a1", "a2", "a3"), withServers("a1", "a2", "a3")
		prefillAlone(d, map[string]float64{"a1": 2, "a2": 1, "a3": 1})
		unsent := d.TakeUnsentPrefillTimes()
		g.Expect(unsent).To(gomega.HaveLen(3))
		g.Expect(d.TakeUnsentPrefillTimes()).To(gomega.BeEmpty())
		for _, sample := range unsent {
			other.RecordPeerPrefillTime(sample, time.Now())
		}
		other.RecordPeerPrefillTime(PrefillTime{Server: Hash("nobody"), PerToken: time.Second}, time.Now())
		g.Expect(currentSlowness(other, "a1")).To(gomega.BeNumerically("~", 2, 0.001))
		g.Expect(currentSlowness(other, "a2")).To(gomega.BeNumerically("~", 1, 0.001))
		g.Expect(other.TakeUnsentPrefillTimes()).To(gomega.BeEmpty(), "peers' samples are not passed on")
	})
}
