package main

import (
	"bufio"
	"context"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/backing"
	platformapi "github.com/pearyard/pearyard/backing/httpapi"
	"github.com/pearyard/pearyard/engine"
	engineapi "github.com/pearyard/pearyard/engine/httpapi"
	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/standin/command"
	"github.com/pearyard/pearyard/types"
)

// startStandin starts the program and returns its process and the address that it prints.
// The process is killed at the end of the test.
func startStandin(t *testing.T, bin string, args ...string) (*exec.Cmd, string) {
	g := NewWithT(t)
	cmd := exec.CommandContext(t.Context(), bin, args...)
	out, err := cmd.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Start()).To(Succeed())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	line, err := bufio.NewReader(out).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	g.Expect(ok).To(BeTrue(), line)
	return cmd, address
}

func post(t *testing.T, url, body string) {
	g := NewWithT(t)
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(resp.Body.Close()).To(Succeed())
}

// Builds the program and runs each stand-in as a process of its own: it must print its
// address and serve its API. An engine must end with CrashStatus after a poisoned request,
// and the platform must apply a fault: the write takes effect, but its answer is lost.
func TestStandinsRunAsProcesses(t *testing.T) {
	g := NewWithT(t)
	bin := filepath.Join(t.TempDir(), "pearyard-standin")
	build, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(build))

	crashingEngine, address := startStandin(t, bin, "engine", "--step-base", "1ms")
	c := engineapi.New(engineapi.Options{Address: address})
	var texts []string
	_, err = c.Generate(t.Context(), engine.Request{Prompt: "p", MaxTokens: 5}, func(token types.Token) error {
		texts = append(texts, token.Text)
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(texts).To(HaveLen(5))
	g.Expect(standin.CheckAnswer("p", texts)).To(Succeed())
	_, err = c.Generate(context.Background(), engine.Request{Prompt: "POISON", MaxTokens: 5}, nil)
	g.Expect(err).To(MatchError(engine.ErrConnectionLost))
	g.Expect(crashingEngine.Wait()).To(HaveOccurred())
	g.Expect(crashingEngine.ProcessState.ExitCode()).To(Equal(command.CrashStatus))

	_, address = startStandin(t, bin, "platform")
	post(t, "http://"+address+"/faults", `{"table":{"lose_answers":1}}`)
	table := platformapi.NewTable(platformapi.Options{Address: address})
	txn := backing.Txn{Writes: []backing.Write{{Key: "k", Value: []byte("v")}}}
	g.Expect(table.Commit(t.Context(), txn)).To(MatchError(backing.ErrAmbiguous))
	_, err = table.Get(t.Context(), "k")
	g.Expect(err).NotTo(HaveOccurred())

	_, address = startStandin(t, bin, "plain")
	post(t, "http://"+address+"/labels", "{}")
}
