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

// set implements `set POINTER JSON`, which replaces the value at a JSON pointer in the
// configuration. The change is in force from the next apply on.
func (h *harness) set(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: set POINTER JSON")
	}
	raw, err := json.Marshal(h.site.config)
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
	if err := setJSONPath(tree, strings.Split(strings.TrimPrefix(args[0], "/"), "/"), value); err != nil {
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
	h.site.config = changed
	return nil
}

// setJSONPath sets the value at path in a decoded JSON document.
func setJSONPath(tree any, path []string, value any) error {
	last := len(path) == 1
	switch node := tree.(type) {
	case map[string]any:
		if last {
			node[path[0]] = value
			return nil
		}
		return setJSONPath(node[path[0]], path[1:], value)
	case []any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(node) {
			return errors.Errorf("no array element %q", path[0])
		}
		if last {
			node[i] = value
			return nil
		}
		return setJSONPath(node[i], path[1:], value)
	}
	return errors.Errorf("no object or array that contains %q", path[0])
}

// rerun implements `rerun NAME... -- [FLAG...]` and `rerun NAME... -- no FLAG`, which
// restart engines with flags added or one removed, and wait until their sidecars report
// them as available again.
func (h *harness) rerun(ts *testscript.TestScript, args []string) error {
	separator := slices.Index(args, "--")
	if separator < 1 {
		return errors.New("usage: rerun NAME... -- [no] FLAG")
	}
	names, flags := args[:separator], args[separator+1:]
	processes, err := h.processesOf(names)
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
	if err := h.kill(ts, names); err != nil {
		return err
	}
	for _, p := range processes {
		// The sidecar must have noticed the end of the old process first; otherwise it
		// could still report on that one. It logs engine_died and engine_back in turn,
		// so it has noticed the end once it has logged one engine_died more.
		sidecar := h.site.processes[strings.Replace(p.name, "engine-", "sidecar-", 1)]
		backBefore := sidecar.log.count("engine_back")
		if err := waitFor(conditionTimeout, "sidecar reports "+p.name+" as ended", func() bool {
			return sidecar.log.count("engine_died") > backBefore
		}); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
		if err := waitFor(conditionTimeout, "sidecar reports "+p.name+" as available again", func() bool {
			return sidecar.log.count("engine_back") > backBefore
		}); err != nil {
			return err
		}
	}
	return nil
}

// within implements `within DURATION COMMAND...`, which runs the command and fails if
// it takes longer.
func (h *harness) within(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: within DURATION COMMAND...")
	}
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	run := Commands()[args[1]]
	if run == nil {
		return errors.Errorf("within: unknown command %q", args[1])
	}
	start := time.Now()
	run(ts, false, args[2:])
	if took := time.Since(start); took > limit {
		return errors.Errorf("%s took %s, longer than %s", strings.Join(args[1:], " "), took, limit)
	}
	return nil
}

// met implements `met`, which waits until the membership of each running router and
// sidecar lists at least as many processes as there are of them.
func (h *harness) met(_ *testscript.TestScript, _ []string) error {
	var members []string
	for _, name := range h.site.startOrder {
		if p := h.site.processes[name]; p.program != programStandin && p.running() {
			members = append(members, name)
		}
	}
	return waitFor(conditionTimeout, "all running routers and sidecars know each other", func() bool {
		for _, name := range members {
			var known struct{ Members []json.RawMessage }
			if h.site.readSection(name, "membership", &known) != nil || len(known.Members) < len(members) {
				return false
			}
		}
		return true
	})
}
