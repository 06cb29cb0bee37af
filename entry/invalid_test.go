package entry

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/platform"
)

// Guards against a log line that is as long as an answer's headers.
func TestLogOfManyInvalidHeadersIsShort(t *testing.T) {
	g := gomega.NewWithT(t)

	e := &Entry{recorder: event.Discard()}
	values := slices.Repeat([]string{"no value"}, 10_000)
	s := &directory.Server{}
	e.reportInvalidEra(platform.EraChange{Values: values})
	e.reportInvalidLimit(s, values)
	e.reportInvalidHeader(s, "x", values)
	entries := e.recorder.Entries("")
	g.Expect(entries).To(gomega.HaveLen(3))
	for _, entry := range entries {
		g.Expect(len(entry.Fields["values"])).To(gomega.BeNumerically("<", 1000), entry.Name)
	}
}
