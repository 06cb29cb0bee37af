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

// reloadableRouter is a router whose configuration can be replaced while it serves.
type reloadableRouter struct {
	*router.Router
	url  string
	text atomic.Pointer[text.Config]
}

func newReloadableRouter(t *testing.T, raw string) *reloadableRouter {
	r := &reloadableRouter{}
	r.store(t, raw)
	r.Router = router.New(router.Options{
		Peer:       newPeer("r1", ""),
		Text:       r.text.Load,
		Fresh:      func() bool { return true },
		Members:    func() *membership.View { return nil },
		Recorder:   event.Discard(),
		Registerer: prometheus.NewRegistry(),
	})
	NewWithT(t).Expect(r.Refresh()).To(Succeed())
	callers := httptest.NewServer(r.Handler())
	t.Cleanup(callers.Close)
	r.url = callers.URL
	return r
}

func (r *reloadableRouter) store(t *testing.T, raw string) {
	conf, findings := text.Parse([]byte(raw))
	NewWithT(t).Expect(findings.HasErrors()).To(BeFalse(), "%v", findings)
	r.text.Store(conf)
}

// apply stores a configuration and rebuilds the views.
func (r *reloadableRouter) apply(t *testing.T, raw string) {
	r.store(t, raw)
	NewWithT(t).Expect(r.Refresh()).To(Succeed())
}

// configWithoutService has no service, and another organisation.
const configWithoutService = `{"services":[],"models":[{"name":"pear","version":"1"}],"organisations":[{"name":"p","keySHA256":["0c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]}]}`

// An operator removes a service from the configuration and adds it again. Its new routing
// policy and retry budget register metrics that exist already; that must not fail, and the
// service must be served.
func TestServiceReaddedToConfiguration(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "a")
	with := string(configOf([]string{b.address}))
	r := newReloadableRouter(t, with)
	for range 3 {
		r.apply(t, configWithoutService)
		r.apply(t, with)
	}
	resp, err := postCompletion(r.url, "key", 5, false)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(bodyOf(resp)).To(ContainSubstring(`"finish_reason"`))
}

func postCompletion(url, key string, tokens int, stream bool) (*http.Response, error) {
	req, _ := http.NewRequest(http.MethodPost, url+"/v1/completions",
		strings.NewReader(fmt.Sprintf(`{"model":"pear","prompt":"list the pears","max_tokens":%d,"stream":%v}`, tokens, stream)))
	req.Header.Set("Authorization", "Bearer "+key)
	return http.DefaultClient.Do(req)
}

// While a generation runs, its service, API key and organisation are removed from the
// configuration, and its engine dies. It must complete, by the configuration that it
// started with. Requests after the change are refused.
func TestGenerationSurvivesRemovalOfItsService(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			g := NewWithT(t)
			a, b := newBackend(t, "a"), newBackend(t, "b")
			cl := &cluster{backends: []*backend{a, b}}
			r := newReloadableRouter(t, string(configOf([]string{a.address, b.address})))
			ended := make(chan string, 1)
			go func() {
				resp, err := postCompletion(r.url, "key", 300, stream)
				if err != nil {
					ended <- err.Error()
					return
				}
				ended <- bodyOf(resp)
			}()
			g.Eventually(cl.requests, "5s", "2ms").Should(BeEquivalentTo(1))
			r.apply(t, configWithoutService)
			time.Sleep(100 * time.Millisecond) // lets some tokens be generated
			cl.crashRunning()
			var body string
			g.Eventually(ended, "20s").Should(Receive(&body))
			if stream {
				g.Expect(body).To(ContainSubstring("[DONE]"))
				g.Expect(strings.Count(body, "id: ")).To(Equal(300))
			} else {
				g.Expect(body).To(ContainSubstring(`"completion_tokens":300`))
			}
			resp, err := postCompletion(r.url, "key", 5, stream)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
		})
	}
}

// A caller sends its request, closes its sending side, as many simple clients do, and
// waits for the answer. The router took it for gone, ended the request and sent status
// 200 with an empty or truncated body.
func TestHalfClosedCallerGetsNoTruncatedAnswer(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			g := NewWithT(t)
			b := newBackend(t, "a")
			r := newReloadableRouter(t, string(configOf([]string{b.address})))
			conn, err := net.Dial("tcp4", strings.TrimPrefix(r.url, "http://"))
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			body := fmt.Sprintf(`{"model":"pear","prompt":"list the pears","max_tokens":300,"stream":%v}`, stream)
			_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(func() uint64 { return b.engine.Counters().Requests }, "5s", "2ms").Should(BeEquivalentTo(1))
			g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // a closed connection can't be mistaken for an answer
			}
			raw, err := io.ReadAll(resp.Body)
			if err != nil {
				return // the caller notices the truncated body
			}
			g.Expect(string(raw)).To(Or(ContainSubstring("[DONE]"), ContainSubstring(`"completion_tokens":300`)), "status %d", resp.StatusCode)
		})
	}
}

// A caller writes its whole body before it reads, and is refused without the router
// reading the body: unknown key, path or service, or a body that is too large. Closing
// the connection with unread data would reset it and discard the refusal.
func TestRefusalReachesCallerWithUnreadBody(t *testing.T) {
	b := newBackend(t, "a")
	r := newReloadableRouter(t, string(configOf([]string{b.address})))
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
				conn, err := net.Dial("tcp4", strings.TrimPrefix(r.url, "http://"))
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
				head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", c.path, c.key, size)
				_, err = conn.Write(append([]byte(head), bytes.Repeat([]byte("b"), size)...))
				g.Expect(err).NotTo(HaveOccurred(), "such clients don't read the response after a failed write")
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(c.status))
				g.Expect(bodyOf(resp)).To(ContainSubstring("request_id"))
			})
		}
	}
}

// A handler panics. The caller must get an answer that says that the request may have
// run, instead of a closed connection, and the event must name the request.
func TestHandlerPanicIsAnsweredAndLogged(t *testing.T) {
	g := NewWithT(t)
	conf, _ := text.Parse(configOf([]string{"127.0.0.1:1"}))
	recorder := event.Discard()
	var noMap map[string]int
	r := router.New(router.Options{
		Peer: newPeer("r1", ""), Text: func() *text.Config { return conf },
		Fresh:   func() bool { noMap["x"]++; return true },
		Members: func() *membership.View { return nil }, Recorder: recorder, Registerer: prometheus.NewRegistry(),
	})
	callers := httptest.NewServer(r.Handler())
	defer callers.Close()
	resp, err := postCompletion(callers.URL, "key", 5, false)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
	g.Expect(resp.Header.Get("Pearyard-Outcome")).To(Equal("unknown"))
	id := resp.Header.Get("Pearyard-Request-Id")
	g.Expect(recorder.Entries(id)).To(ContainElement(HaveField("Fields", HaveKeyWithValue("panic", "assignment to entry in nil map"))))
	g.Expect(r.Streams()).To(BeZero(), "requests in flight")
}

// While a request's body arrives, a change of the configuration revokes its API key or
// removes its service. The configuration in force when the request is complete decides,
// or a revoked key would go on working for callers that send slowly.
func TestSlowBodyIsCheckedAgainstCurrentConfiguration(t *testing.T) {
	b := newBackend(t, "a")
	with := string(configOf([]string{b.address}))
	without := strings.Replace(configWithoutService, `"organisations":[`,
		`"organisations":[{"name":"o","keySHA256":["2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]},`, 1)
	revoked := strings.Replace(with, `"keySHA256":["2c`, `"keySHA256":["3c`, 1)
	for name, c := range map[string]struct {
		text   string
		status int
	}{"key revoked": {revoked, 401}, "service gone": {without, 404}, "same": {with, 200}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newReloadableRouter(t, with)
			conn, err := net.Dial("tcp4", strings.TrimPrefix(r.url, "http://"))
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			body := `{"model":"pear","prompt":"list the pears","max_tokens":5}`
			_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:10])
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(r.Streams, "5s", "2ms").Should(Equal(1))
			r.apply(t, c.text)
			_, err = conn.Write([]byte(body[10:]))
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(c.status), bodyOf(resp))
		})
	}
}
