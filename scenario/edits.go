package scenario

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pearyard/pearyard/text"
)

// set: set POINTER JSON; changes the text, in force with the next apply
func (b *bench) set(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("set POINTER JSON")
	}
	raw, err := json.Marshal(b.site.text)
	if err != nil {
		return err
	}
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return err
	}
	var value any
	if err := json.Unmarshal([]byte(args[1]), &value); err != nil {
		return errors.Wrap(err, args[1])
	}
	if err := setAt(tree, strings.Split(strings.TrimPrefix(args[0], "/"), "/"), value); err != nil {
		return errors.Wrap(err, args[0])
	}
	if raw, err = json.Marshal(tree); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	changed := &text.Config{}
	if err := decoder.Decode(changed); err != nil {
		return errors.Wrap(err, args[0])
	}
	b.site.text = changed
	return nil
}

// setAt sets the value that path names in a decoded JSON document.
func setAt(tree any, path []string, value any) error {
	last := len(path) == 1
	switch node := tree.(type) {
	case map[string]any:
		if last {
			node[path[0]] = value
			return nil
		}
		return setAt(node[path[0]], path[1:], value)
	case []any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(node) {
			return errors.Errorf("no element %s", path[0])
		}
		if last {
			node[i] = value
			return nil
		}
		return setAt(node[i], path[1:], value)
	}
	return errors.Errorf("nothing to go into for %s", path[0])
}

// rerun: rerun NAME... -- [FLAG...] [no FLAG]; restarts engines with other flags
// and waits until their sidecars have them back
func (b *bench) rerun(ts *testscript.TestScript, args []string) error {
	cut := slices.Index(args, "--")
	if cut < 1 {
		return errors.New("rerun NAME... -- FLAG")
	}
	names, flags := args[:cut], args[cut+1:]
	processes, err := b.members(names)
	if err != nil {
		return err
	}
	for _, p := range processes {
		if len(flags) == 2 && flags[0] == "no" {
			p.args = slices.DeleteFunc(slices.Clone(p.args), func(a string) bool { return a == flags[1] })
		} else {
			p.args = append(slices.Clone(p.args), flags...)
		}
	}
	if err := b.kill(ts, names); err != nil {
		return err
	}
	for _, p := range processes {
		// Its sidecar must have seen it gone, or the look below shows the old run.
		sidecar := b.site.processes[strings.Replace(p.name, "engine-", "sidecar-", 1)]
		before := sidecar.log.count("engine_back")
		if err := await(conditionTimeout, p.name+" gone", func() bool {
			return sidecar.log.count("engine_died") > before
		}); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
		if err := await(conditionTimeout, p.name+" back", func() bool {
			return sidecar.log.count("engine_back") > before
		}); err != nil {
			return err
		}
	}
	return nil
}

// within: within DURATION COMMAND...; fails if the command takes longer
func (b *bench) within(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("within DURATION COMMAND")
	}
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	run := Commands()[args[1]]
	if run == nil {
		return errors.Errorf("within: no command %s", args[1])
	}
	begun := time.Now()
	run(ts, false, args[2:])
	if took := time.Since(begun); took > limit {
		return errors.Errorf("%s took %s, longer than %s", strings.Join(args[1:], " "), took, limit)
	}
	return nil
}

// met: met; waits until all processes that run know each other
func (b *bench) met(_ *testscript.TestScript, _ []string) error {
	var members []string
	for _, name := range b.site.order {
		if p := b.site.processes[name]; p.program != programStandin && p.running() {
			members = append(members, name)
		}
	}
	return await(conditionTimeout, "all have met", func() bool {
		for _, name := range members {
			var known struct{ Members []json.RawMessage }
			if b.site.dump(name, "membership", &known) != nil || len(known.Members) < len(members) {
				return false
			}
		}
		return true
	})
}
