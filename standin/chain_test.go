package standin_test

import (
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/standin"
)

func answer(t *testing.T, prompt string, n int) []string {
	_, c := startEngine(t, standin.EngineOptions{})
	var got collector
	_, err := c.Generate(t.Context(), engine.Request{Prompt: prompt, MaxTokens: n}, got.emit)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return got.texts()
}

func TestCheckAnswerNamesFault(t *testing.T) {
	a, b := answer(t, prompt, 50), answer(t, prompt, 50)
	cases := map[string]struct {
		texts []string
		fault standin.Fault
		index int
	}{
		"gap":                 {slices.Delete(slices.Clone(a), 20, 23), standin.FaultGap, 20},
		"repeat":              {slices.Insert(slices.Clone(a), 20, a[17:20]...), standin.FaultRepeat, 20},
		"mixture":             {slices.Concat(a[:20], b[20:]), standin.FaultMixture, 20},
		"foreign":             {slices.Concat(a[:20], []string{"data:"}), standin.FaultForeign, 20},
		"first token missing": {a[1:], standin.FaultMixture, 1},
		"other prompt":        {answer(t, "other", 5), standin.FaultMixture, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			err := standin.CheckAnswer(prompt, c.texts)
			g.Expect(err).To(BeAssignableToTypeOf(&standin.AnswerError{}))
			g.Expect(err.(*standin.AnswerError).Fault).To(Equal(c.fault), err.Error())
			g.Expect(err.(*standin.AnswerError).Index).To(Equal(c.index))
		})
	}
	g := NewWithT(t)
	g.Expect(standin.CheckAnswer(prompt, a)).To(Succeed())
	g.Expect(standin.SplitText(strings.Join(a, ""))).To(Equal(a))
}
