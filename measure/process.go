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
	listeningWord = "listening" // first word of the line that a program prints once it listens
	singleAddress = "address"   // label for the address of a stand-in, which has only one
)

// AsProgram runs this binary as one of the programs under test if it was started under
// the name of one. It returns the exit code, and whether it ran one.
func AsProgram(args []string) (code int, ran bool) {
	switch filepath.Base(args[0]) {
	case programRouter:
		return runProfiled(programRouter, func() int { return daemon.Router(args, os.Stdout, os.Stderr) }), true
	case programSidecar:
		return runProfiled(programSidecar, func() int { return daemon.Sidecar(args, os.Stdout, os.Stderr) }), true
	case programStandin:
		return command.Main(args), true
	}
	return 0, false
}

// process is one program under test.
type process struct {
	name    string
	cmd     *exec.Cmd
	address map[string]string // addresses by their labels in the listening line
	done    chan struct{}     // closed when the process has ended
}

// startProcess runs a program from dir, or this binary as that program if dir is empty,
// and returns once it listens.
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
	first := ""
	select {
	case first = <-line:
		p.address = addressesOf(first)
	case <-time.After(startTimeout):
	}
	if len(p.address) == 0 {
		p.kill()
		return nil, errors.Errorf("measure: %s ended, or did not report its addresses within %v; its first line of output: %q", name, startTimeout, first)
	}
	return p, nil
}

// reap sends the first line of output, discards the others, and waits for the end of the
// process.
func (p *process) reap(out io.Reader, line chan<- string) {
	reader := bufio.NewReader(out)
	first, _ := reader.ReadString('\n')
	line <- first
	_, _ = io.Copy(io.Discard, reader)
	_ = p.cmd.Wait()
	close(p.done)
}

// addressesOf parses `listening [LABEL=]ADDRESS ...`.
func addressesOf(line string) map[string]string {
	words := strings.Fields(line)
	if len(words) == 0 || words[0] != listeningWord {
		return nil
	}
	out := map[string]string{}
	for _, word := range words[1:] {
		label, address, ok := strings.Cut(word, "=")
		if !ok {
			label, address = singleAddress, word
		}
		out[label] = address
	}
	return out
}

func (p *process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "measure: signal %s", p.name)
}

// kill ends the process with SIGKILL, which also ends a frozen one, and waits for its end.
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
