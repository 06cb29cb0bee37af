package route

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// One request of an engine is set aside while others go on: the engine is at
// work. It is stuck when one stands still and no token has come since.
func TestEngineIsStuckIfNobodyGetsATokenThere(t *testing.T) {
	g := NewWithT(t)
	var s Stats
	now := time.Now()
	g.Expect(s.Stuck()).To(BeFalse())
	s.Progressed(now)
	s.StoodStill(now.Add(time.Second))
	g.Expect(s.Stuck()).To(BeTrue())
	s.Progressed(now.Add(2 * time.Second))
	g.Expect(s.Stuck()).To(BeFalse())
}
