package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// readAlone has servers read one prompt each that finds nothing ahead of it, in seconds.
func readAlone(d *Directory, seconds map[string]float64) {
	for id, s := range seconds {
		readIn(d.server(id), 8000, time.Duration(s*float64(time.Second)))
	}
}

// compared returns the slowness of a server by what is known now.
func compared(d *Directory, id string) float64 {
	time.Sleep(slownessFor)
	d.Pick(Query{Service: "s", Prompt: 8000}, time.Now())
	return d.server(id).Slowness()
}

// Guards against a choice that takes a slow server for as good as a fast one.
func TestSlownessIsRelativeToTheMedianServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withServers("a1", "a2", "a3", "a4")
		readAlone(d, map[string]float64{"a1": 1, "a2": 2, "a3": 4})
		g.Expect(compared(d, "a1")).To(gomega.BeNumerically("~", 0.5, 0.001))
		g.Expect(compared(d, "a2")).To(gomega.BeNumerically("~", 1, 0.001))
		g.Expect(compared(d, "a3")).To(gomega.BeNumerically("~", 2, 0.001))
		g.Expect(compared(d, "a4")).To(gomega.BeNumerically("==", 1), "not measured")
		g.Expect(d.ReadSpeed(d.server("a3"), time.Now())).To(gomega.BeNumerically("~", 2000, 1))
	})
}

// Guards against a busy server that counts as slow because prompts waited there.
func TestPromptBehindAnotherIsNoMeasure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := withServers("a1", "a2")
		readAlone(d, map[string]float64{"a1": 1, "a2": 1})
		d.server("a2").setOthers(Load{Streams: 1, Prefill: 8000})
		for range readTimesKept {
			readIn(d.server("a2"), 8000, 3*time.Second)
		}
		gomega.NewWithT(t).Expect(compared(d, "a2")).To(gomega.BeNumerically("~", 1, 0.001))
	})
}

// Guards against all prompts going to a server that kept those of callers who came back:
// their first events come at once.
func TestKeptPromptsMakeNoFastServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := withServers("a1", "a2", "a3")
		readAlone(d, map[string]float64{"a1": 1, "a2": 1, "a3": 1})
		compared(d, "a1")
		for range readTimesKept {
			readIn(d.server("a1"), 8000, 20*time.Millisecond)
		}
		gomega.NewWithT(t).Expect(compared(d, "a1")).To(gomega.BeNumerically("~", 1, 0.001))
	})
}

// Guards against one server that is avoided because another process's prompt, unknown
// here, was read first once.
func TestOneLongMeasureMakesNoSlowServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := withServers("a1", "a2", "a3")
		readAlone(d, map[string]float64{"a1": 1, "a2": 1, "a3": 1})
		readAlone(d, map[string]float64{"a1": 3})
		gomega.NewWithT(t).Expect(compared(d, "a1")).To(gomega.BeNumerically("~", 1, 0.001))
	})
}

// Guards against a server that stays avoided for good after it has recovered.
func TestOldMeasureIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withServers("a1", "a2", "a3")
		readAlone(d, map[string]float64{"a1": 8, "a2": 1, "a3": 1})
		g.Expect(compared(d, "a1")).To(gomega.BeNumerically(">", 4))
		time.Sleep(readTimeLife)
		g.Expect(compared(d, "a1")).To(gomega.BeNumerically("==", 1))
	})
}

// Guards against servers whose speed is unknown after each of their restarts.
func TestMeasuresOutliveARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := withServers("a1", "a2", "a3")
		readAlone(d, map[string]float64{"a1": 2, "a2": 1, "a3": 1})
		restarted := listing("a9", "a2", "a3")
		restarted[0].Address = "a1"
		d.Apply(2, restarted, false, time.Now())
		gomega.NewWithT(t).Expect(compared(d, "a9")).To(gomega.BeNumerically("~", 2, 0.001))
	})
}

// Guards against measures of addresses that have long gone, kept for good.
func TestMeasuresOfGoneAddressesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := withServers("a1")
		for i := range 50 {
			time.Sleep(readTimeLife)
			d.Apply(uint64(i+2), listing(fmt.Sprint("b", i)), false, time.Now())
			readIn(d.server(fmt.Sprint("b", i)), 8000, time.Second)
		}
		gomega.NewWithT(t).Expect(len(d.readTimes)).To(gomega.BeNumerically("<=", 4))
	})
}

// Guards against a VM that knows only what it has measured itself, and a start that is
// not known taken for another.
func TestMeasuresAreToldOnceAndCountElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d, other := withServers("a1", "a2", "a3"), withServers("a1", "a2", "a3")
		readAlone(d, map[string]float64{"a1": 2, "a2": 1, "a3": 1})
		told := d.UntoldReadTimes()
		g.Expect(told).To(gomega.HaveLen(3))
		g.Expect(d.UntoldReadTimes()).To(gomega.BeEmpty())
		for _, measure := range told {
			other.MeasuredElsewhere(measure, time.Now())
		}
		other.MeasuredElsewhere(ReadTime{Server: Hash("nobody"), Token: time.Second}, time.Now())
		g.Expect(compared(other, "a1")).To(gomega.BeNumerically("~", 2, 0.001))
		g.Expect(compared(other, "a2")).To(gomega.BeNumerically("~", 1, 0.001))
		g.Expect(other.UntoldReadTimes()).To(gomega.BeEmpty(), "what others told isn't told again")
	})
}
