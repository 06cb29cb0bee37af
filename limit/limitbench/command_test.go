package limitbench

import (
	"bytes"
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
)

func TestResultIsWrittenAsJSON(t *testing.T) {
	g := NewWithT(t)
	result := Result{Seeds: 1, Fairness: []FairRun{{Mode: ModeFair}}}
	var asJSON bytes.Buffer
	g.Expect(write(&asJSON, result, true)).To(Succeed())
	var read Result
	g.Expect(json.Unmarshal(asJSON.Bytes(), &read)).To(Succeed())
	g.Expect(read.Fairness).To(HaveLen(1))
	g.Expect(read.Fairness[0].Mode).To(Equal(ModeFair))
}
