package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pearyard/pearyard/client"
	"github.com/pearyard/pearyard/standin"
)

// crashStatus is the exit status of an engine that crashed because of a request. It must
// equal command.CrashStatus of the stand-in.
const crashStatus = 3

// expect implements `expect`, which checks the results of callers and the state of
// processes; see docs/design/scenarios.md.
func (h *harness) expect(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: expect WHAT CONDITION...")
	}
	if process := h.aliases[args[0]]; process != "" {
		return h.expectProcess(process, args[1])
	}
	if c := h.callers[args[0]]; c != nil {
		if err := h.waitEnded(ts, args[:1]); err != nil {
			return err
		}
		return errors.Wrap(h.expectCaller(c, args[1], args[2:]), args[0])
	}
	switch args[0] {
	case "engines", "plains":
		return h.expectSum(args[0], args[1])
	case "runs":
		return h.expectRuns(args[1:])
	case "event":
		return h.expectEvent(args[1:])
	case "no-event":
		return h.expectNoEvent(args[1:])
	}
	return h.expectProcess(args[0], args[1])
}

func (h *harness) expectCaller(c *caller, what string, conditions []string) error {
	switch what {
	case "whole":
		return expectWhole(c, conditions)
	case "refused":
		return expectRefused(c, conditions)
	case "answered":
		return c.err
	case "same", "different":
		return h.expectSame(c, what == "same", conditions)
	}
	return errors.Errorf("expect: unknown condition %q", what)
}

// expectWhole implements `expect NAME whole [tokens=N] [longest-gap<1500ms] [returns=0]`:
// the answer is complete and correct, and the conditions hold. The condition returns
// compares how often the caller resumed.
func expectWhole(c *caller, conditions []string) error {
	if c.err != nil {
		return errors.Wrapf(c.err, "after %d tokens", len(c.answer.Texts))
	}
	if err := standin.CheckAnswer(c.prompt, c.answer.Texts); err != nil {
		return err
	}
	if len(c.answer.Texts) != c.tokens || c.answer.Finish == "" {
		return errors.Errorf("got %d tokens, want %d, with finish reason %q", len(c.answer.Texts), c.tokens, c.answer.Finish)
	}
	for _, condition := range conditions {
		err := compare(condition, func(name string) (float64, bool) {
			switch name {
			case "tokens":
				return float64(len(c.answer.Texts)), true
			case "longest-gap":
				return c.answer.Longest.Length.Seconds(), true
			case "returns":
				return float64(c.answer.Resumes), true
			}
			return 0, false
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// expectRefused implements `expect NAME refused [code=C] [outcome=O] [retry-after]`: the
// request was refused, and all tokens before the refusal are correct.
func expectRefused(c *caller, conditions []string) error {
	var refused *client.RefusedError
	if !errors.As(c.err, &refused) {
		return errors.Errorf("not refused: error %v, %d tokens", c.err, len(c.answer.Texts))
	}
	if err := standin.CheckAnswer(c.prompt, c.answer.Texts); err != nil {
		return errors.Wrap(err, "tokens before the refusal")
	}
	for _, condition := range conditions {
		good := false
		switch name, value, _ := strings.Cut(condition, "="); name {
		case "code":
			good = string(refused.Code) == value
		case "outcome":
			good = string(refused.Outcome) == value
		case "retry-after":
			good = refused.RetryAfter > 0
		}
		if !good {
			return errors.Errorf("condition %s is not met by the refusal: %v", condition, refused)
		}
	}
	return nil
}

// expectSame implements `expect NAME same|different OTHER...`, which compares the answers
// of callers.
func (h *harness) expectSame(c *caller, same bool, others []string) error {
	for _, name := range others {
		other, err := h.caller(name)
		if err != nil {
			return err
		}
		<-other.done
		if slices.Equal(c.answer.Texts, other.answer.Texts) != same {
			return errors.Errorf("same answer as %s: got %t, want %t", name, !same, same)
		}
	}
	return nil
}

// expectSum implements `expect engines|plains FIELD=N`, which waits until the sum of FIELD
// over the dumps of all running stand-ins of the kind meets the condition. The FIELD
// `crashed` is the number of those that crashed because of a request.
func (h *harness) expectSum(kind, condition string) error {
	var lastErr error
	err := waitFor(conditionTimeout, kind+" "+condition, func() bool {
		sums := map[string]float64{"crashed": 0}
		for _, name := range h.site.startOrder {
			p := h.site.processes[name]
			if !strings.HasPrefix(name, strings.TrimSuffix(kind, "s")+"-") {
				continue
			}
			if !p.running() {
				if p.status == crashStatus {
					sums["crashed"]++
				}
				continue
			}
			counters, err := h.site.counters(name)
			if err != nil {
				lastErr = err
				return false
			}
			for field, n := range counters {
				sums[field] += n
			}
		}
		lastErr = compare(condition, func(name string) (float64, bool) { n, ok := sums[name]; return n, ok })
		return lastErr == nil
	})
	if err != nil {
		return errors.Wrap(lastErr, err.Error())
	}
	return nil
}

// expectRuns implements `expect runs key=K CONDITION`, with a condition such as <=1 on the
// number of runs that the plain services counted for the key.
func (h *harness) expectRuns(args []string) error {
	if len(args) != 2 || !strings.HasPrefix(args[0], "key=") {
		return errors.New("usage: expect runs key=K CONDITION")
	}
	runs := 0
	for i := range h.site.spec.plains {
		var counts standin.PlainCounts
		if err := getJSON("http://"+h.site.address(fromHarness, plainName(i+1))+"/counts", &counts); err != nil {
			return err
		}
		runs += counts.ByKey[strings.TrimPrefix(args[0], "key=")]
	}
	return compare("runs"+args[1], func(string) (float64, bool) { return float64(runs), true })
}

// expectNoEvent implements `expect no-event NAME PY2101 [WORD...]`: the process's log has
// no such line at this time.
func (h *harness) expectNoEvent(args []string) error {
	args, err := h.resolve(args)
	if err != nil {
		return err
	}
	if len(args) < 2 || h.site.processes[args[0]] == nil {
		return errors.New("usage: expect no-event NAME EVENT [WORD...]")
	}
	if n := h.site.processes[args[0]].log.count(args[1:]...); n > 0 {
		return errors.Errorf("%d log lines with %s, want none", n, strings.Join(args, " "))
	}
	return nil
}

// expectEvent implements `expect event NAME PY2101 [WORD...]`, which waits until the
// process's log has a line with the event and all words. Lines of earlier incarnations
// count too.
func (h *harness) expectEvent(args []string) error {
	args, err := h.resolve(args)
	if err != nil {
		return err
	}
	if len(args) < 2 || h.site.processes[args[0]] == nil {
		return errors.New("usage: expect event NAME EVENT [WORD...]")
	}
	p := h.site.processes[args[0]]
	return waitFor(conditionTimeout, "event "+strings.Join(args, " "), func() bool { return p.log.count(args[1:]...) > 0 })
}

// expectProcess implements `expect NAME running|status=N`. The condition status waits
// until the process has ended.
func (h *harness) expectProcess(name, condition string) error {
	p := h.site.processes[name]
	if p == nil {
		return errors.Errorf("unknown caller or process %q", name)
	}
	if condition == "running" {
		if !p.running() {
			return errors.Errorf("%s has ended with status %d", name, p.status)
		}
		return nil
	}
	if err := h.waitEnded(nil, []string{name}); err != nil {
		return err
	}
	return errors.Wrap(compare(condition, func(string) (float64, bool) { return float64(p.status), true }), name)
}

// compare checks a condition `NAME=N`, `NAME<=N`, `NAME>=N`, `NAME<N` or `NAME>N`. N may be
// a duration, which is compared in seconds.
func compare(condition string, value func(name string) (float64, bool)) error {
	for _, op := range []string{"<=", ">=", "<", ">", "="} {
		name, limit, ok := strings.Cut(condition, op)
		if !ok {
			continue
		}
		got, known := value(name)
		want, err := parseValue(limit)
		if err != nil || !known {
			return errors.Errorf("condition %q has an unknown name or an invalid number", condition)
		}
		holds := map[string]bool{"<=": got <= want, ">=": got >= want, "<": got < want, ">": got > want, "=": got == want}[op]
		if !holds {
			return fmt.Errorf("condition %s is not met: got %g", condition, got)
		}
		return nil
	}
	return errors.Errorf("condition %q has no operator", condition)
}

// parseValue parses a number or a duration, which it returns in seconds.
func parseValue(s string) (float64, error) {
	if d, err := time.ParseDuration(s); err == nil && s != "0" {
		return d.Seconds(), nil
	}
	return strconv.ParseFloat(s, 64)
}
