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

// engineCrash is the exit status of an engine that a request crashed.
const engineCrash = 3

// expect checks what came of callers and processes; see docs/design/scenarios.md.
func (b *bench) expect(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("expect WHAT CONDITION...")
	}
	if given := b.names[args[0]]; given != "" {
		return b.expectProcess(given, args[1])
	}
	if c := b.callers[args[0]]; c != nil {
		if err := b.wait(ts, args[:1]); err != nil {
			return err
		}
		return errors.Wrap(b.expectCaller(c, args[1], args[2:]), args[0])
	}
	switch args[0] {
	case "engines", "plains":
		return b.expectSum(args[0], args[1])
	case "runs":
		return b.expectRuns(args[1:])
	case "event":
		return b.expectEvent(args[1:])
	case "no-event":
		return b.expectNoEvent(args[1:])
	}
	return b.expectProcess(args[0], args[1])
}

func (b *bench) expectCaller(c *caller, what string, more []string) error {
	switch what {
	case "whole":
		return expectWhole(c, more)
	case "refused":
		return expectRefused(c, more)
	case "answered":
		return c.err
	case "same", "different":
		return b.expectSame(c, what == "same", more)
	}
	return errors.Errorf("expect: no condition %s", what)
}

// expectWhole: expect NAME whole [tokens=N] [longest-gap<1500ms] [returns=0]
func expectWhole(c *caller, more []string) error {
	if c.err != nil {
		return errors.Wrapf(c.err, "after %d tokens", len(c.answer.Texts))
	}
	if err := standin.CheckAnswer(c.prompt, c.answer.Texts); err != nil {
		return err
	}
	if len(c.answer.Texts) != c.tokens || c.answer.Finish == "" {
		return errors.Errorf("%d tokens of %d, finish %q", len(c.answer.Texts), c.tokens, c.answer.Finish)
	}
	for _, condition := range more {
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

// expectRefused: expect NAME refused [code=C] [outcome=O] [retry-after]
func expectRefused(c *caller, more []string) error {
	var refused *client.RefusedError
	if !errors.As(c.err, &refused) {
		return errors.Errorf("not refused: %v, %d tokens", c.err, len(c.answer.Texts))
	}
	if err := standin.CheckAnswer(c.prompt, c.answer.Texts); err != nil {
		return errors.Wrap(err, "the part before the refusal")
	}
	for _, condition := range more {
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
			return errors.Errorf("%s doesn't hold: %v", condition, refused)
		}
	}
	return nil
}

// expectSame: expect NAME same|different OTHER
func (b *bench) expectSame(c *caller, same bool, more []string) error {
	for _, name := range more {
		other, err := b.caller(name)
		if err != nil {
			return err
		}
		<-other.done
		if slices.Equal(c.answer.Texts, other.answer.Texts) != same {
			return errors.Errorf("answer and that of %s: same is %t, wanted %t", name, !same, same)
		}
	}
	return nil
}

// expectSum: expect engines|plains FIELD=N; FIELD of the dumps of all that run,
// or `crashed`: how many ended because a request crashed them
func (b *bench) expectSum(kind, condition string) error {
	var last error
	err := await(conditionTimeout, kind+" "+condition, func() bool {
		sums := map[string]float64{"crashed": 0}
		for _, name := range b.site.order {
			p := b.site.processes[name]
			if !strings.HasPrefix(name, strings.TrimSuffix(kind, "s")+"-") {
				continue
			}
			if !p.running() {
				if p.status == engineCrash {
					sums["crashed"]++
				}
				continue
			}
			counters, err := b.site.counters(name)
			if err != nil {
				last = err
				return false
			}
			for field, n := range counters {
				sums[field] += n
			}
		}
		last = compare(condition, func(name string) (float64, bool) { n, ok := sums[name]; return n, ok })
		return last == nil
	})
	if err != nil {
		return errors.Wrap(last, err.Error())
	}
	return nil
}

// expectRuns: expect runs key=K CONDITION, such as <=1; counted by the plain services
func (b *bench) expectRuns(args []string) error {
	if len(args) != 2 || !strings.HasPrefix(args[0], "key=") {
		return errors.New("expect runs key=K CONDITION")
	}
	runs := 0
	for i := range b.site.size.plains {
		var counts standin.PlainCounts
		if err := getJSON("http://"+b.site.at(fromHarness, plainName(i+1))+"/counts", &counts); err != nil {
			return err
		}
		runs += counts.ByKey[strings.TrimPrefix(args[0], "key=")]
	}
	return compare("runs"+args[1], func(string) (float64, bool) { return float64(runs), true })
}

// expectNoEvent: expect no-event NAME PY2101 [WORD...]; the process's log hasn't got it by now
func (b *bench) expectNoEvent(args []string) error {
	args, err := b.resolve(args)
	if err != nil {
		return err
	}
	if len(args) < 2 || b.site.processes[args[0]] == nil {
		return errors.New("expect no-event NAME EVENT")
	}
	if n := b.site.processes[args[0]].log.count(args[1:]...); n > 0 {
		return errors.Errorf("%d lines with %s", n, strings.Join(args, " "))
	}
	return nil
}

// expectEvent: expect event NAME PY2101 [WORD...]; waits until the process's log has it
func (b *bench) expectEvent(args []string) error {
	args, err := b.resolve(args)
	if err != nil {
		return err
	}
	if len(args) < 2 || b.site.processes[args[0]] == nil {
		return errors.New("expect event NAME EVENT")
	}
	p := b.site.processes[args[0]]
	return await(conditionTimeout, "event "+strings.Join(args, " "), func() bool { return p.log.count(args[1:]...) > 0 })
}

// expectProcess: expect NAME running|status=N; status waits for its end
func (b *bench) expectProcess(name, condition string) error {
	p := b.site.processes[name]
	if p == nil {
		return errors.Errorf("no caller or process %s", name)
	}
	if condition == "running" {
		if !p.running() {
			return errors.Errorf("%s has ended with status %d", name, p.status)
		}
		return nil
	}
	if err := b.wait(nil, []string{name}); err != nil {
		return err
	}
	return errors.Wrap(compare(condition, func(string) (float64, bool) { return float64(p.status), true }), name)
}

// compare checks `NAME=N`, `NAME<=N`, `NAME>=N`, `NAME<N` or `NAME>N`; N may be a duration.
func compare(condition string, value func(name string) (float64, bool)) error {
	for _, op := range []string{"<=", ">=", "<", ">", "="} {
		name, limit, ok := strings.Cut(condition, op)
		if !ok {
			continue
		}
		have, known := value(name)
		want, err := parseNumber(limit)
		if err != nil || !known {
			return errors.Errorf("%q isn't a condition here", condition)
		}
		holds := map[string]bool{"<=": have <= want, ">=": have >= want, "<": have < want, ">": have > want, "=": have == want}[op]
		if !holds {
			return fmt.Errorf("%s doesn't hold: it is %g", condition, have)
		}
		return nil
	}
	return errors.Errorf("%q isn't a condition", condition)
}

func parseNumber(s string) (float64, error) {
	if d, err := time.ParseDuration(s); err == nil && s != "0" {
		return d.Seconds(), nil
	}
	return strconv.ParseFloat(s, 64)
}
