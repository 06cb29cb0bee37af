package exchange

import (
	"testing"

	"github.com/onsi/gomega"
)

// endlessReader returns the same byte without end.
type endlessReader struct{ read int }

func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	r.read += len(p)
	return len(p), nil
}

const (
	// smallestVM is the memory of the smallest entry VM, in bytes, and streamsOfAServer the most streams that one server runs at a time.
	smallestVM       = 112 << 20
	streamsOfAServer = 128
)

// Guards against a process that is filled by one server that sends bytes without end on all its streams.
func TestEndlessEventsOfAServerFitTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	in := &endlessReader{}
	_, err := newEventReader(in).next()
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(in.read * streamsOfAServer).To(gomega.BeNumerically("<", smallestVM/4))
}
