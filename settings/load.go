package settings

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"

	"github.com/pearyard/pearyard/findings"
)

// FlagSource gives the flags set on the command line; *cli.Context is one.
type FlagSource interface {
	IsSet(name string) bool
	String(name string) string
}

// Sources are where settings come from, in rising precedence. Each may be left out.
type Sources struct {
	File  string                      // path of the JSON file; "": none
	Env   func(string) (string, bool) // such as os.LookupEnv
	Flags FlagSource
}

// LoadRouter loads and checks a router's settings.
func LoadRouter(sources Sources) (Router, findings.List) {
	settings := DefaultRouter()
	list := load(&settings, sources)
	return settings, list
}

// LoadSidecar loads and checks a sidecar's settings.
func LoadSidecar(sources Sources) (Sidecar, findings.List) {
	settings := DefaultSidecar()
	list := load(&settings, sources)
	return settings, list
}

// load fills settings, a pointer to a struct, and validates them.
func load(settings Validator, sources Sources) findings.List {
	l := loader{fields: fieldsOf(reflect.ValueOf(settings).Elem()), origin: map[string]string{}, failed: map[string]bool{}}
	readable := l.file(sources.File)
	if l.raw != nil {
		findings.Locate(l.raw, l.list)
	}
	l.strings(sources.Env, sources.Flags)
	if readable { // else every setting of the file would be reported missing
		l.validate(settings)
	}
	l.list.Sort()
	return l.list
}

// fromFile is the origin of a value whose place in the file can be told.
const fromFile = "file"

type loader struct {
	fields []field
	raw    []byte
	list   findings.List
	origin map[string]string // where each setting's value came from
	failed map[string]bool   // settings whose value couldn't be read
}

// file sets what the file holds and reports whether it holds settings at all.
func (l *loader) file(path string) bool {
	if path == "" {
		return true
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		l.list.Errorf("", "settings file: %v", err)
		return false
	}
	l.raw = raw
	l.list = findings.Syntax(raw)
	if !json.Valid(raw) {
		return false
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil {
		l.list.Errorf("", "the settings are not a JSON object")
		return false
	}
	l.members(members)
	return true
}

func (l *loader) members(members map[string]json.RawMessage) {
	for _, f := range l.fields {
		if value, ok := members[f.name]; ok {
			l.set(f, fromFile, f.setJSON(value))
			delete(members, f.name)
		}
	}
	for name := range members {
		l.list.Errorf(findings.Pointer(name), "unknown setting %q", name)
	}
}

func (l *loader) strings(env func(string) (string, bool), flags FlagSource) {
	for _, f := range l.fields {
		if env != nil {
			if value, ok := env(f.env()); ok {
				l.set(f, "$"+f.env(), f.setString(value))
			}
		}
		if flags != nil && flags.IsSet(f.flag()) {
			l.set(f, "--"+f.flag(), f.setString(flags.String(f.flag())))
		}
	}
}

// set notes where a value came from, and what was wrong with it.
func (l *loader) set(f field, origin string, err error) {
	l.origin[f.name] = origin
	if err == nil {
		return
	}
	l.failed[f.name] = true
	message := err.Error()
	if f.secret {
		message = "not " + f.kind()
	}
	l.list.Errorf(findings.Pointer(f.name), "%s%s", message, suffix(origin))
}

func suffix(origin string) string {
	if origin == fromFile {
		return ""
	}
	return " (from " + origin + ")"
}

// validate adds what the settings say of themselves. A finding gets a line
// only if its value stands in the file; else it names where the value is from.
func (l *loader) validate(settings Validator) {
	var inFile findings.List
	for _, finding := range settings.Validate() {
		name, _, _ := strings.Cut(strings.TrimPrefix(finding.Pointer, "/"), "/")
		origin, set := l.origin[name]
		switch {
		case l.failed[name]:
		case origin == fromFile:
			inFile = append(inFile, finding)
		case set:
			finding.Message += suffix(origin)
			l.list = append(l.list, finding)
		default:
			l.list = append(l.list, finding)
		}
	}
	findings.Locate(l.raw, inFile)
	l.list = append(l.list, inFile...)
}

// masked stands for a secret that is set.
const masked = "***"

// Print returns settings, given as a pointer, as JSON with secrets masked.
func Print(settings any) []byte {
	value := reflect.ValueOf(settings).Elem()
	copied := reflect.New(value.Type())
	copied.Elem().Set(value)
	for _, f := range fieldsOf(copied.Elem()) {
		if f.secret && !f.value.IsZero() {
			f.value.SetString(masked)
		}
	}
	raw, err := json.MarshalIndent(copied.Interface(), "", "  ")
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return raw
}
