package peer_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/peer"
	"github.com/pearyard/pearyard/types"
)

func newPeer(id types.ProcessID, revision types.Revision, onStamp func(peer.Stamp)) *peer.Peer {
	return peer.New(peer.Options{
		Self:     peer.Identity{ID: id, Incarnation: 7, Address: "127.0.0.1:1"},
		Revision: func() types.Revision { return revision }, OnStamp: onStamp,
	})
}

// A new revision becomes known through ordinary traffic, in both directions. Only the
// stamp of a response has a time: that of a request may have waited.
func TestStampsGoBothWays(t *testing.T) {
	g := NewWithT(t)
	var atServer, atClient peer.Stamp
	server := newPeer("server", 5, func(s peer.Stamp) { atServer = s })
	client := newPeer("client", 4, func(s peer.Stamp) { atClient = s })
	listener := httptest.NewServer(server.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		g.Expect(peer.Sender(r.Context()).ID).To(BeEquivalentTo("client"))
	})))
	defer listener.Close()
	resp, err := client.Client().Get(listener.URL)
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(atServer.Revision).To(BeEquivalentTo(4))
	g.Expect(atServer.AsOf.IsZero()).To(BeTrue())
	g.Expect(atClient.Revision).To(BeEquivalentTo(5))
	g.Expect(atClient.AsOf).To(BeTemporally("~", time.Now(), time.Minute))
}

// A call is reported as not run only if no byte of it can have been sent. A refused
// connection proves that; a connection that breaks after it was established proves
// nothing.
func TestSentGuard(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	url := "http://" + listener.Addr().String()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_ = conn.Close()
		}
	}()
	call := func() bool {
		var guard peer.SentGuard
		req, _ := http.NewRequestWithContext(guard.Watch(t.Context()), http.MethodPost, url, http.NoBody)
		resp, err := newPeer("client", 1, nil).Client().Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		g.Expect(err).To(HaveOccurred())
		return guard.MayHaveSent()
	}
	g.Expect(call()).To(BeTrue())
	g.Expect(listener.Close()).To(Succeed())
	g.Expect(call()).To(BeFalse())
}

func FuzzParseStamp(f *testing.F) {
	f.Add("router-1;7;127.0.0.1:1;5")
	f.Add(";;;")
	f.Add("a;-1;b;c")
	f.Fuzz(func(t *testing.T, text string) {
		stamp, err := peer.ParseStamp(text)
		if err != nil {
			return
		}
		again, err := peer.ParseStamp(stamp.String())
		if err != nil || again != stamp {
			t.Fatalf("%q: %v, then %v (%v)", text, stamp, again, err)
		}
	})
}
