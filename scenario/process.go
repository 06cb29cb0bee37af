package scenario

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	startTimeout  = 20 * time.Second
	stacksTimeout = 2 * time.Second
	stacksTail    = 400 // number of lines of goroutine stacks in the error of a failed start
	logTail       = 40  // number of lines of each log that a failed script prints
)

// process is one process of the site. It runs the test binary under the name of the
// program.
type process struct {
	name    string
	program string
	args    []string
	log     logBuffer           // stdout and stderr of all incarnations
	relays  map[string][]*relay // keyed by the label of the address that they forward to

	cmd    *exec.Cmd
	stdin  io.Closer     // closes when the test process ends, see exitWithParent
	done   chan struct{} // closed when the process has ended
	status int           // exit status, set before done is closed
}

// start starts the process and waits until it listens.
func (p *process) start() error {
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	listening := make(chan string, 1)
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Args[0] = p.program
	p.cmd.Stdout = &listeningWriter{log: &p.log, listening: listening}
	p.cmd.Stderr = &p.log
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go p.reap(p.cmd, p.done)
	select {
	case line := <-listening:
		return p.connect(line)
	case <-p.done:
		return errors.Errorf("%s ended with exit status %d before it listened", p.name, p.status)
	case <-time.After(startTimeout):
		p.logStacks()
		return errors.Errorf("%s did not listen within %s\n%s", p.name, startTimeout, p.log.tail(stacksTail))
	}
}

// logStacks ends the process with SIGQUIT, so that its log shows what its goroutines wait
// for.
func (p *process) logStacks() {
	if p.signal(syscall.SIGQUIT) != nil {
		return
	}
	select {
	case <-p.done:
	case <-time.After(stacksTimeout):
	}
}

// reap waits until the process has ended, makes its relays refuse connections and closes
// done.
func (p *process) reap(cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Wait()
	for _, relays := range p.relays {
		for _, r := range relays {
			r.clearTarget()
		}
	}
	p.status = cmd.ProcessState.ExitCode()
	close(done)
}

// connect sets the targets of the relays from the line `listening [LABEL=]ADDRESS ...`.
func (p *process) connect(line string) error {
	for _, word := range strings.Fields(line)[1:] {
		label, address, ok := strings.Cut(word, "=")
		if !ok {
			label, address = labelBackend, word
		}
		for _, r := range p.relays[label] {
			if err := r.setTarget(address); err != nil {
				return errors.Wrapf(err, "relay to address %q of %s", label, p.name)
			}
		}
	}
	return nil
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "send signal %q to %s", s, p.name)
}

// stopped reports whether SIGSTOP has stopped all threads of the process (state T).
func (p *process) stopped() bool {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(tasks) == 0 {
		return false
	}
	for _, task := range tasks {
		raw, err := os.ReadFile(task)
		if err != nil {
			continue // the thread has ended
		}
		_, state, _ := strings.Cut(string(raw), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// kill kills the process, which works also while it is frozen, and waits until it has
// ended.
func (p *process) kill() {
	if p.cmd == nil || p.done == nil || !p.running() {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// logBuffer is a log that can be read and written concurrently.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logBuffer) lines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Split(strings.TrimSpace(l.buf.String()), "\n")
}

// tail returns the last n lines.
func (l *logBuffer) tail(n int) string {
	lines := l.lines()
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// count returns how many lines contain all of the words.
func (l *logBuffer) count(words ...string) int {
	n := 0
	for _, line := range l.lines() {
		if containsAll(line, words) {
			n++
		}
	}
	return n
}

func containsAll(line string, words []string) bool {
	for _, word := range words {
		if !strings.Contains(line, word) {
			return false
		}
	}
	return true
}

// listeningWriter writes to the log and sends the first line to the channel if it begins
// with `listening `.
type listeningWriter struct {
	log       *logBuffer
	listening chan<- string
	line      []byte
	found     bool
}

// Write implements io.Writer.
func (w *listeningWriter) Write(b []byte) (int, error) {
	if !w.found {
		w.line = append(w.line, b...)
		if head, _, ok := bytes.Cut(w.line, []byte("\n")); ok && bytes.HasPrefix(head, []byte("listening ")) {
			w.found = true
			w.listening <- string(head)
		}
	}
	return w.log.Write(b)
}
