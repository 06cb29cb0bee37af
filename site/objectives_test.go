package site

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Many routes share a few objectives; the log line that tells which responses are in time
// names each of them once.
func TestObjectivesNameEachOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	config := New(1, []Route{
		{Host: "a", Prefix: "/1/", Kind: Stream, Objective: 4500 * time.Millisecond, MaxGap: 700 * time.Millisecond},
		{Host: "a", Prefix: "/2/", Kind: Stream, Objective: 4500 * time.Millisecond, MaxGap: 700 * time.Millisecond},
		{Host: "b", Prefix: "/1/", Kind: Idempotent, Objective: 300 * time.Millisecond},
		{Host: "b", Prefix: "/2/", Kind: Idempotent},
	}, nil, nil, ClientLimits{})
	g.Expect(config.Objectives()).To(gomega.Equal("idempotent:300ms,stream:4.5s/700ms"))
}
