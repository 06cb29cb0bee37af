package scenario

import (
	"net"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// The process behind a relay ends and starts again. Until it does, dials are
// refused, and then it listens there as before.
func TestReservedPortRefusesAndCanBeListenedOnAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	kept, err := reserve()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer kept.release()
	for range 3 {
		_, err = net.Dial("tcp", kept.address)
		g.Expect(err).To(gomega.MatchError(syscall.ECONNREFUSED))
		listener, err := net.Listen("tcp", kept.address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		conn, err := net.Dial("tcp", kept.address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(conn.Close()).To(gomega.Succeed())
		g.Expect(listener.Close()).To(gomega.Succeed())
	}
}
