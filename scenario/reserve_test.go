package scenario

import (
	"net"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// A relay closes its listener when its process ends and listens again when it restarts.
// Between the two, connections to the reserved port must be refused, and listening again
// must not fail because of the reservation.
func TestReservedPortRefusesAndCanBeListenedOnAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	reserved, err := reservePort()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer reserved.release()
	for range 3 {
		_, err = net.Dial("tcp", reserved.address)
		g.Expect(err).To(gomega.MatchError(syscall.ECONNREFUSED))
		listener, err := net.Listen("tcp", reserved.address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		conn, err := net.Dial("tcp", reserved.address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(conn.Close()).To(gomega.Succeed())
		g.Expect(listener.Close()).To(gomega.Succeed())
	}
}
