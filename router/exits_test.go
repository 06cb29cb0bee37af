package router_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/membership"
	"github.com/pearyard/pearyard/router"
	"github.com/pearyard/pearyard/text"
)

// movingRouter is a router whose text can be replaced while it serves.
type movingRouter struct {
	*router.Router
	url  string
	text atomic.Pointer[text.Config]
}

func newMovingRouter(t *testing.T, raw string) *movingRouter {
	m := &movingRouter{}
	m.put(t, raw)
	m.Router = router.New(router.Options{
		Peer:       newPeer("r1", ""),
		Text:       m.text.Load,
		Fresh:      func() bool { return true },
		Members:    func() *membership.View { return nil },
		Recorder:   event.Discard(),
		Registerer: prometheus.NewRegistry(),
	})
	NewWithT(t).Expect(m.Refresh()).To(Succeed())
	callers := httptest.NewServer(m.Handler())
	t.Cleanup(callers.Close)
	m.url = callers.URL
	return m
}

func (m *movingRouter) put(t *testing.T, raw string) {
	in, findings := text.Parse([]byte(raw))
	NewWithT(t).Expect(findings.HasErrors()).To(BeFalse(), "%v", findings)
	m.text.Store(in)
}

// apply puts a text in force.
func (m *movingRouter) apply(t *testing.T, raw string) {
	m.put(t, raw)
	NewWithT(t).Expect(m.Refresh()).To(Succeed())
}

// A text without the service; another organisation is left.
const emptyText = `{"services":[],"models":[{"name":"pear","version":"1"}],"organisations":[{"name":"p","keySHA256":["0c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]}]}`

// An operator takes a service out of the text and puts it back a moment later.
func TestServiceComesBackIntoTheText(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t, "a")
	with := string(textOf([]string{s.address}))
	m := newMovingRouter(t, with)
	for range 3 {
		m.apply(t, emptyText)
		m.apply(t, with)
	}
	resp, err := postAsk(m.url, "key", 5, false)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(bodyOf(resp)).To(ContainSubstring(`"finish_reason"`))
}

func postAsk(url, key string, tokens int, stream bool) (*http.Response, error) {
	req, _ := http.NewRequest(http.MethodPost, url+"/v1/completions",
		strings.NewReader(fmt.Sprintf(`{"model":"pear","prompt":"list the pears","max_tokens":%d,"stream":%v}`, tokens, stream)))
	req.Header.Set("Authorization", "Bearer "+key)
	return http.DefaultClient.Do(req)
}

// A generation runs while its service, its key and its organisation are taken
// out of the text, and its engine dies. It goes on to its end: what has begun
// keeps the text that it began with. What comes later is refused with a word.
func TestGenerationOutlivesItsServiceInTheText(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			g := NewWithT(t)
			a, b := newSite(t, "a"), newSite(t, "b")
			bed := &bed{sites: []*site{a, b}}
			m := newMovingRouter(t, string(textOf([]string{a.address, b.address})))
			ended := make(chan string, 1)
			go func() {
				resp, err := postAsk(m.url, "key", 300, stream)
				if err != nil {
					ended <- err.Error()
					return
				}
				ended <- bodyOf(resp)
			}()
			g.Eventually(bed.requests, "5s", "2ms").Should(BeEquivalentTo(1))
			m.apply(t, emptyText)
			time.Sleep(100 * time.Millisecond) // some tokens
			bed.crashRunning()
			var body string
			g.Eventually(ended, "20s").Should(Receive(&body))
			if stream {
				g.Expect(body).To(ContainSubstring("[DONE]"))
				g.Expect(strings.Count(body, "id: ")).To(Equal(300))
			} else {
				g.Expect(body).To(ContainSubstring(`"completion_tokens":300`))
			}
			resp, err := postAsk(m.url, "key", 5, stream)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
		})
	}
}

// A caller sends its request, says that it will send nothing more (many simple
// clients do), and waits for the answer. That looked as if it had left: its
// request was ended, and it got 200 with nothing in it, which looks whole.
func TestCallerThatSendsNoMoreGetsNoEmptyAnswer(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			g := NewWithT(t)
			s := newSite(t, "a")
			m := newMovingRouter(t, string(textOf([]string{s.address})))
			conn, err := net.Dial("tcp4", strings.TrimPrefix(m.url, "http://"))
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			body := fmt.Sprintf(`{"model":"pear","prompt":"list the pears","max_tokens":300,"stream":%v}`, stream)
			_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(func() uint64 { return s.engine.Counters().Requests }, "5s", "2ms").Should(BeEquivalentTo(1))
			g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // a closed connection is no answer, and doesn't look like one
			}
			raw, err := io.ReadAll(resp.Body)
			if err != nil {
				return // cut
			}
			g.Expect(string(raw)).To(Or(ContainSubstring("[DONE]"), ContainSubstring(`"completion_tokens":300`)), "status %d", resp.StatusCode)
		})
	}
}

// A caller writes all of its body before it reads, and is refused without it:
// unknown key, unknown path or service, too large. The rest of the body was left
// unread, and the close took the refusal away.
func TestRefusalOfABodyThatNobodyReadsReachesItsCaller(t *testing.T) {
	s := newSite(t, "a")
	m := newMovingRouter(t, string(textOf([]string{s.address})))
	for name, c := range map[string]struct {
		path, key string
		status    int
	}{
		"unknown key":     {"/v1/completions", "other", 401},
		"unknown path":    {"/v2/none", "key", 404},
		"unknown service": {"/services/none/x", "key", 404},
		"too large":       {"/v1/completions", "key", 413},
	} {
		for _, size := range []int{2_000, 300 << 10, 4 << 20, 12 << 20} {
			if c.status == 413 && size <= 4<<20 {
				continue // not too large
			}
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				g := NewWithT(t)
				conn, err := net.Dial("tcp4", strings.TrimPrefix(m.url, "http://"))
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
				head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", c.path, c.key, size)
				_, err = conn.Write(append([]byte(head), bytes.Repeat([]byte("b"), size)...))
				g.Expect(err).NotTo(HaveOccurred(), "clients of this kind don't read after a failed write")
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(c.status))
				g.Expect(bodyOf(resp)).To(ContainSubstring("request_id"))
			})
		}
	}
}

// The program has a fault on a request's path. The caller saw a closed connection
// and the only trace, on standard error, named no request. It gets an answer that
// says that the request may have run, and the line names it.
func TestPanicOnARequestsPathIsAnsweredAndLogged(t *testing.T) {
	g := NewWithT(t)
	in, _ := text.Parse(textOf([]string{"127.0.0.1:1"}))
	recorder := event.Discard()
	var noMap map[string]int
	r := router.New(router.Options{
		Peer: newPeer("r1", ""), Text: func() *text.Config { return in },
		Fresh:   func() bool { noMap["x"]++; return true },
		Members: func() *membership.View { return nil }, Recorder: recorder, Registerer: prometheus.NewRegistry(),
	})
	callers := httptest.NewServer(r.Handler())
	defer callers.Close()
	resp, err := postAsk(callers.URL, "key", 5, false)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
	g.Expect(resp.Header.Get("Pearyard-Outcome")).To(Equal("unknown"))
	id := resp.Header.Get("Pearyard-Request-Id")
	g.Expect(recorder.Entries(id)).To(ContainElement(HaveField("Fields", HaveKeyWithValue("panic", "assignment to entry in nil map"))))
	g.Expect(r.Streams()).To(BeZero(), "it is counted out")
}

// A caller's body takes longer than a change of the text that revokes its key and
// takes its service away. The request was served by the text of its head, however
// long ago that was: a revoked key went on working for whoever sent slowly. What
// is in force when the request is complete decides, with a word.
func TestSlowBodyIsJudgedByTheTextInForce(t *testing.T) {
	s := newSite(t, "a")
	with := string(textOf([]string{s.address}))
	without := strings.Replace(emptyText, `"organisations":[`,
		`"organisations":[{"name":"o","keySHA256":["2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]},`, 1)
	revoked := strings.Replace(with, `"keySHA256":["2c`, `"keySHA256":["3c`, 1)
	for name, c := range map[string]struct {
		text   string
		status int
	}{"key revoked": {revoked, 401}, "service gone": {without, 404}, "same": {with, 200}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMovingRouter(t, with)
			conn, err := net.Dial("tcp4", strings.TrimPrefix(m.url, "http://"))
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			body := `{"model":"pear","prompt":"list the pears","max_tokens":5}`
			_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:10])
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(m.Streams, "5s", "2ms").Should(Equal(1))
			m.apply(t, c.text)
			_, err = conn.Write([]byte(body[10:]))
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(c.status), bodyOf(resp))
		})
	}
}
