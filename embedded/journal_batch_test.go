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

// An operator sets journalBatchMillis to 0, so that tokens reach the journal at
// once. A VM and the router that reads from it are then lost together, and the
// caller is told that its generation is gone: the 0 had been taken for none
// given, and tokens waited half a second for their batch. The answer has to go
// on from the journal.
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
			time.Sleep(20 * time.Millisecond) // less than a step: the caller has seen all that the engine made
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
