package route

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An engine may preempt one request while others progress: it is still working. It
// has stalled if one request stopped and none has received a token since.
func TestCandidateIsStalledWithoutNewTokens(t *testing.T) {
	g := NewWithT(t)
	var s Stats
	now := time.Now()
	g.Expect(s.Stalled()).To(BeFalse())
	s.RecordToken(now)
	s.RecordStall(now.Add(time.Second))
	g.Expect(s.Stalled()).To(BeTrue())
	s.RecordToken(now.Add(2 * time.Second))
	g.Expect(s.Stalled()).To(BeFalse())
}
