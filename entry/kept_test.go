package entry_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// A caller's connection breaks in the middle of a draft. She comes back with another
// attempt for the rest of it. The draft goes on at the server that read her prompt,
// of five that might take it, and what she gets follows her last event.
func TestCallerThatComesBackMeetsTheServerThatKeepsHerPrompt(t *testing.T) {
	g := gomega.NewWithT(t)
	w := serving(t, 5, nil)
	for i := range 4 { // by chance alone she would meet it four times in a row in one of 625 runs
		prompt := fmt.Sprintf("Token-Usage: 8000,200\r\nPrefix-Hash: shared:200,own%d:7800\r\n", i)
		path := fmt.Sprintf("/stream/again/%d", i)
		first := w.send(ask{id: fmt.Sprint("first-", i), path: path, more: prompt}).head().events(9)
		g.Expect(first.Err).NotTo(gomega.HaveOccurred())
		g.Expect(first.conn.Close()).To(gomega.Succeed())
		again := w.send(ask{id: fmt.Sprint("again-", i), path: path, more: prompt + "Last-Event-Id: 3\r\n"}).head()
		g.Expect(again.Err).NotTo(gomega.HaveOccurred())
		line, err := again.body.ReadString('\n')
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(line).To(gomega.Equal("id: 4\n"))
		ranAt := map[string]string{}
		for _, run := range w.cloud.Ledger.Runs() {
			ranAt[run.Request] = run.Server
		}
		g.Expect(ranAt[again.id]).To(gomega.Equal(ranAt[first.id]))
		g.Expect(w.logs.text()).To(gomega.MatchRegexp("event=PY2738 .*request=%s .*tokens=8000 ", again.id))
	}
}
