package embedded_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/client"
	"github.com/pearyard/pearyard/embedded"
	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/text"
)

// Guards against reading a journalBatchMillis of 0 as "not set". Journal writes were
// then delayed by half a second, and when the VM that ran a generation and the router
// that read from it were lost together, the caller was told that its generation was
// gone. With 0, every token is journalled at once, so the answer must continue from the
// journal.
func TestJournalBatchOfZeroMeansAtOnce(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	site, err := embedded.Start(ctx, embedded.Options{
		Engines: 4, Engine: standin.EngineOptions{StepBase: 30 * time.Millisecond},
		Edit: func(in *text.Config) { in.Recovery.JournalAfterMillis, in.Recovery.JournalBatchMillis = 0, 0 },
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer site.Stop()

	answer, err := site.Client().Generate(ctx, client.Request{Model: embedded.Model, Prompt: "a tender", MaxTokens: 60},
		func(index int, _ string) {
			if index != 40 {
				return
			}
			time.Sleep(20 * time.Millisecond) // less than a step, so that the caller has received every token so far
			for _, e := range site.Engines {
				if e.Counters().Running > 0 {
					go e.Sidecar.Kill()
					e.Kill()
				}
			}
			go site.Routers[0].Kill()
		})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Texts).To(HaveLen(60))
	g.Expect(standin.CheckAnswer("a tender", answer.Texts)).To(Succeed())
}
