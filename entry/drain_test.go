package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/inbound"
	"github.com/pearyard/pearyard/site"
)

// A request is accepted at the moment when an idle stopping process shuts its server
// down. http.Server.Serve returns as soon as the listener is closed; if that ended the
// run group, the caller's connection would be closed without a response, seconds before
// the end of the grace period.
func TestRequestAcceptedDuringShutdownIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	taken, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(taken)
		<-release
		_, _ = io.WriteString(w, "whole")
	})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithCancel(t.Context())
	shutting := make(chan struct{})
	server.RegisterOnShutdown(func() { close(shutting) })
	var group run.Group
	serveUntilDrained(ctx, &group, server, listener, func() {
		within, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = server.Shutdown(within)
	})
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()

	conn, err := net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	<-taken
	stop()
	<-shutting
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(answer.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("whole"))
	g.Expect(<-ended).To(gomega.Succeed())
}

// Without a configuration, or with one that sets no limits, the built-in limits apply:
// nothing else closes unused connections.
func TestBuiltInLimitsWithoutConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &Entry{configHolder: site.NewHolder()}
	own := inbound.Limits{IdleTime: idleTimeout, HeaderTime: headerTimeout}
	g.Expect(e.clientLimits()).To(gomega.Equal(own))
	e.configHolder.Offer(&site.Versioned{Config: site.New(1, nil, nil, nil, site.ClientLimits{BodyBytes: 9}), Position: 1})
	g.Expect(e.clientLimits()).To(gomega.Equal(own))
	e.configHolder.Offer(&site.Versioned{Config: site.New(2, nil, nil, nil, site.ClientLimits{IdleTime: time.Second}), Position: 2})
	g.Expect(e.clientLimits().IdleTime).To(gomega.Equal(time.Second))
}
