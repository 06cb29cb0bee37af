package embedded_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/client"
	"github.com/pearyard/pearyard/embedded"
	"github.com/pearyard/pearyard/standin"
)

// A caller streams a long answer through one router. First the engine that
// produces it crashes, then the router is killed. The client must reconnect to the
// other router with Last-Event-ID and get the rest of the same answer, without a token
// missing or repeated.
func TestEngineThenRouterDie(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	site, err := embedded.Start(ctx, embedded.Options{Engine: standin.EngineOptions{StepBase: 3 * time.Millisecond}})
	g.Expect(err).NotTo(HaveOccurred())
	defer site.Stop()

	answer, err := site.Client().Generate(ctx, client.Request{Model: embedded.Model, Prompt: "a lifting plan", MaxTokens: 300},
		func(index int, _ string) {
			switch index {
			case 100:
				for _, e := range site.Engines {
					if e.Counters().Running > 0 {
						e.Crash()
					}
				}
			case 200:
				go site.Routers[0].Kill()
			}
		})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Resumes).To(BeNumerically(">=", 1))
	g.Expect(answer.Texts).To(HaveLen(300))
	g.Expect(standin.CheckAnswer("a lifting plan", answer.Texts)).To(Succeed())
}
