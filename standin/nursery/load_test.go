package nursery

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The queue of a full engine admits the most urgent request first, though it came last, and
// refuses what is beyond its length.
func TestMostUrgentIsAdmittedFirst(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	e := newEngine(EngineLimits{Places: 1, Queue: 2}, DefaultVersion)
	running, _ := e.admit(t.Context(), 1, neutralPriority, false)
	admitted := make(chan *allocation)
	for n, priority := range []int{neutralPriority, 0} {
		go func() {
			a, _ := e.admit(t.Context(), 1, priority, false)
			admitted <- a
		}()
		g.Eventually(func() int { _, waiting := e.load(); return waiting }, "5s", "1ms").Should(gomega.Equal(n + 1))
	}
	_, ok := e.admit(t.Context(), 1, 0, false)
	g.Expect(ok).To(gomega.BeFalse())
	e.release(running)
	first := <-admitted
	g.Expect(first.priority).To(gomega.BeZero())
	g.Consistently(admitted, "50ms").ShouldNot(gomega.Receive())
	e.release(first)
	g.Expect((<-admitted).priority).To(gomega.Equal(neutralPriority))
}

// A request whose caller leaves while it waits holds nobody up.
func TestWaitingEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	e := newEngine(EngineLimits{Memory: 10, Queue: 1}, DefaultVersion)
	running, _ := e.admit(t.Context(), 10, neutralPriority, false)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, ok := e.admit(ctx, 10, 0, false)
	g.Expect(ok).To(gomega.BeFalse())
	_, ok = e.admit(t.Context(), 11, 0, false)
	g.Expect(ok).To(gomega.BeFalse(), "larger than the whole memory")
	e.release(running)
	_, ok = e.admit(t.Context(), 10, neutralPriority, false)
	g.Expect(ok).To(gomega.BeTrue())
}

// When requests outgrow the memory, the newest of the least urgent ones yields, also to an
// urgent one that came later.
func TestLeastUrgentIsPreempted(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	e := newEngine(EngineLimits{Memory: 305}, DefaultVersion)
	preemptions := 0
	e.onPreempt = func() { preemptions++ }
	var held []*allocation
	for _, priority := range []int{5, 5, 0} {
		a, _ := e.admit(t.Context(), 100, priority, false)
		held = append(held, a)
	}
	g.Expect(e.step(t.Context(), held[2], "urgent")).To(gomega.BeTrue())
	g.Expect(e.step(t.Context(), held[2], "urgent")).To(gomega.BeTrue())
	g.Expect([]bool{held[0].preempted, held[1].preempted, held[2].preempted}).To(gomega.Equal([]bool{false, true, false}))
	g.Expect(preemptions).To(gomega.Equal(1))
}

// send sends a request that isn't a stream and returns the response with its body unread.
func send(t *testing.T, s *Server, id string, deadline time.Duration) (*http.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address+"/once/"+id, http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		t.Cleanup(func() { _ = resp.Body.Close() })
	}
	return resp, err
}

// A disturbed server is slow and says how slow; any other names no load.
func TestDisturbedServerIsSlowAndSaysSo(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	s := startLimited(t, newCloud(t), EngineLimits{Places: 6})
	resp, err := send(t, s, "usual", time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.Header.Get("Instance-Load")).To(gomega.BeEmpty())
	s.Disturb(800)
	start := time.Now()
	resp, err = send(t, s, "disturbed", time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(time.Since(start)).To(gomega.BeNumerically(">=", 8*plainDuration))
	g.Expect(resp.Header.Get("Instance-Load")).To(gomega.Equal("1,0,6,800"))
	s.Disturb(1000)
	start = time.Now()
	g.Expect(stream(t, s, "stream").events).To(gomega.Equal(Events))
	g.Expect(time.Since(start)).To(gomega.BeNumerically(">=", 10*(defaultPrefill+Events*eventGap)))
}

// A server with few places and a short queue sheds what exceeds both, and what waits until
// its deadline. Neither runs.
func TestFullQueueSheds(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cloud := newCloud(t)
	s := startLimited(t, cloud, EngineLimits{Places: 1, Queue: 1})
	s.SlowFactor.Store(100) // a second
	go func() { _, _ = send(t, s, "runs", 5*time.Second) }()
	awaitRuns(t, cloud, 1)
	waits := make(chan *http.Response)
	go func() {
		resp, _ := send(t, s, "waits", 200*time.Millisecond)
		waits <- resp
	}()
	g.Eventually(func() int { _, waiting := s.currentEngine().load(); return waiting }, "5s", "1ms").Should(gomega.Equal(1))
	shed, err := send(t, s, "shed", 5*time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, resp := range []*http.Response{shed, <-waits} {
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(resp.Header.Get("Not-Executed")).To(gomega.Equal("1"))
	}
	g.Expect(cloud.Ledger.Runs()).To(gomega.HaveLen(1))
}

// A server that hangs answers nothing but its health check, and holds what came meanwhile
// until the caller leaves.
func TestServerThatHangs(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cloud := newCloud(t)
	s := startLimited(t, cloud, EngineLimits{})
	s.Hang(true)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address+"/once/hangs", http.NoBody)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ended := make(chan error)
	go func() {
		_, err := http.DefaultClient.Do(req) // there is no response to close
		ended <- err
	}()
	awaitRuns(t, cloud, 1)
	health, err := http.Get("http://" + s.Address + "/healthz")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(health.Body.Close()).To(gomega.Succeed())
	g.Expect(health.StatusCode).To(gomega.Equal(http.StatusOK))
	s.Hang(false)
	resp, err := send(t, s, "later", time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(s.ActiveRequests()).To(gomega.BeEquivalentTo(1), "the one that hangs")
	cancel()
	g.Expect(<-ended).To(gomega.HaveOccurred())
	g.Eventually(s.ActiveRequests, "5s", "1ms").Should(gomega.BeZero())
}
