package httpwire_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/httpconn"
	"github.com/pearyard/pearyard/httpwire"
)

// uploadServer is a server that reads the head of a request and then answers on its connection.
func uploadServer(t *testing.T, respond func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err == nil {
					respond(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// upload sends a body and returns that of the response, with the error that ended it.
type upload func(address string, body []byte) ([]byte, error)

// uploads are the ways in which this project reads responses.
func uploads() map[string]upload {
	transport := httpwire.NewTransport(time.Second)
	pool := httpconn.NewPool(httpconn.Options{})
	return map[string]upload{
		"transport": func(address string, body []byte) ([]byte, error) {
			req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader(body))
			if err != nil {
				return nil, err
			}
			resp, err := transport.RoundTrip(req)
			if err != nil {
				return nil, err
			}
			defer resp.Body.Close()
			return io.ReadAll(resp.Body)
		},
		"httpconn": func(address string, body []byte) ([]byte, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			conn, err := pool.Get(ctx, address)
			if err != nil {
				return nil, err
			}
			defer conn.Abort()
			if err := conn.Send(ctx, &httpconn.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: body}); err != nil {
				return nil, err
			}
			resp, err := conn.Receive(http.MethodPost)
			if err != nil {
				return nil, err
			}
			defer resp.Body.Close()
			return io.ReadAll(resp.Body)
		},
	}
}

const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

var bodySizes = []int{1 << 10, 64 << 10, 1 << 20, 16 << 20}

// Guards against a part of an answer that is taken for the whole one because the goroutine that
// writes the request is told of the reset.
func TestAnswerCutByAResetDuringTheUploadIsNotWhole(t *testing.T) {
	for name, send := range uploads() {
		for _, size := range bodySizes {
			for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s %d bytes %v", name, size, pause), func(t *testing.T) {
					t.Parallel()
					address := uploadServer(t, func(conn *net.TCPConn) {
						_, _ = io.WriteString(conn, unframed+"part")
						time.Sleep(pause)
						_ = conn.SetLinger(0)
					})
					for range 12 {
						got, err := send(address, make([]byte, size))
						gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred(), "%q", got)
					}
				})
			}
		}
	}
}

// Guards against a whole answer that is refused because the server did not read all of the request.
func TestAnswerThatEndsInOrderDuringTheUploadIsWhole(t *testing.T) {
	for how, end := range map[string]func(conn *net.TCPConn){
		"and the server reads on": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		"and the server reads on later": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			_, _ = io.Copy(io.Discard, conn)
		},
		"and a reset follows": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
	} {
		for name, send := range uploads() {
			for _, size := range bodySizes {
				t.Run(fmt.Sprintf("%s %d bytes %s", name, size, how), func(t *testing.T) {
					t.Parallel()
					address := uploadServer(t, func(conn *net.TCPConn) {
						_, _ = io.WriteString(conn, unframed+"whole")
						end(conn)
					})
					for range 8 {
						got, err := send(address, make([]byte, size))
						gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
						gomega.NewWithT(t).Expect(string(got)).To(gomega.Equal("whole"))
					}
				})
			}
		}
	}
}

// Guards against a panic of two goroutines that write at the same time.
func TestWritesMayOverlap(t *testing.T) {
	client, server := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	conn := httpwire.NewConn(client)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 200 {
				_, err := conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
				gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
			}
		})
	}
	writers.Wait()
}

// Guards against a body with its own framing that is refused for what happens behind its end.
func TestFramedAnswerIsWholeWhateverFollowsIt(t *testing.T) {
	for framing, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		for name, send := range uploads() {
			t.Run(name+" "+framing, func(t *testing.T) {
				t.Parallel()
				address := uploadServer(t, func(conn *net.TCPConn) {
					_, _ = io.WriteString(conn, answer)
					time.Sleep(50 * time.Millisecond) // the answer is read meanwhile
					_ = conn.SetLinger(0)
				})
				got, err := send(address, make([]byte, 16<<20))
				gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
				gomega.NewWithT(t).Expect(string(got)).To(gomega.Equal("whole"))
			})
		}
	}
}
