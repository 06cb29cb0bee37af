package measure

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/daemon"
	"github.com/pearyard/pearyard/standin/command"
)

// Names of the programs under test.
const (
	programRouter  = "pearyard-router"
	programSidecar = "pearyard-sidecar"
	programStandin = "pearyard-standin"
)

const (
	startTimeout  = 30 * time.Second
	listeningWord = "listening"
	soleAddress   = "address" // label of a stand-in's only address
)

// AsProgram runs this binary as one of the programs under test if it was
// started under its name, and reports whether it was.
func AsProgram(args []string) (code int, was bool) {
	switch filepath.Base(args[0]) {
	case programRouter:
		return profiled(programRouter, func() int { return daemon.Router(args, os.Stdout, os.Stderr) }), true
	case programSidecar:
		return profiled(programSidecar, func() int { return daemon.Sidecar(args, os.Stdout, os.Stderr) }), true
	case programStandin:
		return command.Main(args), true
	}
	return 0, false
}

// process is one program under test.
type process struct {
	name    string
	cmd     *exec.Cmd
	address map[string]string // by the label of its listening line
	done    chan struct{}     // closed when it has ended
}

// startProcess runs a program from dir, or this binary in its place if dir is
// "", and returns when it listens.
func startProcess(dir, program, name string, args ...string) (*process, error) {
	path := filepath.Join(dir, program)
	if dir == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		path = self
	}
	cmd := exec.Command(path, args...)
	cmd.Args[0] = program
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "measure: start %s", name)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	line := make(chan string, 1)
	go p.reap(out, line)
	select {
	case text := <-line:
		p.address = addressesOf(text)
	case <-time.After(startTimeout):
	}
	if len(p.address) == 0 {
		p.kill()
		return nil, errors.Errorf("measure: %s does not listen", name)
	}
	return p, nil
}

func (p *process) reap(out io.Reader, line chan<- string) {
	reader := bufio.NewReader(out)
	first, _ := reader.ReadString('\n')
	line <- first
	_, _ = io.Copy(io.Discard, reader)
	_ = p.cmd.Wait()
	close(p.done)
}

// addressesOf reads `listening [LABEL=]ADDRESS ...`.
func addressesOf(line string) map[string]string {
	words := strings.Fields(line)
	if len(words) == 0 || words[0] != listeningWord {
		return nil
	}
	out := map[string]string{}
	for _, word := range words[1:] {
		label, address, ok := strings.Cut(word, "=")
		if !ok {
			label, address = soleAddress, word
		}
		out[label] = address
	}
	return out
}

func (p *process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "measure: signal %s", p.name)
}

// kill ends the process at once, also when it is frozen.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}
