package soak

import (
	"net/http"
	"os"
	"os/exec"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against SIGPIPE, which ended the process when the reader of its log was gone.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 1)
	vm := site.VMs[0]
	vm.kill()
	reader, log, err := os.Pipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reader.Close()).To(gomega.Succeed())
	ended := startProgram(t, vm, log)
	g.Expect(vm.awaitReady()).To(gomega.Succeed())
	g.Expect(sendTo(site, vm, "/any/a", "k0").Status).To(gomega.Equal(http.StatusOK))
	g.Expect(vm.metrics()).To(gomega.MatchRegexp(`(?m)^pearyard_log_lines_dropped [1-9]`))
	g.Consistently(ended, "300ms").ShouldNot(gomega.BeClosed())
}

// startProgram starts a VM's program outside of the VM's own lifecycle until the test ends.
func startProgram(t *testing.T, vm *VM, log *os.File) (ended chan struct{}) {
	cmd, err := vm.command(log)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	ended = make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	t.Cleanup(func() { endProgram(cmd, ended) })
	return ended
}

func endProgram(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Process.Kill()
	<-ended
}
