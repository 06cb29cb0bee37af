package entry_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// A caller's connection breaks in the middle of a stream, and the caller requests the
// rest with a new attempt. The stream resumes at the server that has the prompt cached,
// of five that could serve it, with the event that follows the caller's last one.
func TestReconnectingCallerReachesServerWithCachedPrompt(t *testing.T) {
	g := gomega.NewWithT(t)
	env := startServing(t, 5, nil)
	for i := range 4 { // random choice would pick the same server four times in a row in one run of 625
		prompt := fmt.Sprintf("Token-Usage: 8000,200\r\nPrefix-Hash: shared:200,own%d:7800\r\n", i)
		path := fmt.Sprintf("/stream/again/%d", i)
		first := env.send(testRequest{id: fmt.Sprint("first-", i), path: path, extraHeader: prompt}).readHead().readLines(9)
		g.Expect(first.Err).NotTo(gomega.HaveOccurred())
		g.Expect(first.conn.Close()).To(gomega.Succeed())
		again := env.send(testRequest{id: fmt.Sprint("again-", i), path: path, extraHeader: prompt + "Last-Event-Id: 3\r\n"}).readHead()
		g.Expect(again.Err).NotTo(gomega.HaveOccurred())
		line, err := again.body.ReadString('\n')
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(line).To(gomega.Equal("id: 4\n"))
		ranAt := map[string]string{}
		for _, run := range env.cloud.Ledger.Runs() {
			ranAt[run.Request] = run.Server
		}
		g.Expect(ranAt[again.id]).To(gomega.Equal(ranAt[first.id]))
		g.Expect(env.logs.text()).To(gomega.MatchRegexp("event=PY2738 .*request=%s .*tokens=8000 ", again.id))
	}
}
