package settings

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"

	"github.com/pearyard/pearyard/findings"
)

// FlagSource provides the flags set on the command line; *cli.Context implements it.
type FlagSource interface {
	IsSet(name string) bool
	String(name string) string
}

// Sources are the sources of settings, in ascending precedence. Each is optional.
type Sources struct {
	File  string                      // path of the JSON file; "": none
	Env   func(string) (string, bool) // such as os.LookupEnv
	Flags FlagSource
}

// LoadRouter loads and validates a router's settings.
func LoadRouter(sources Sources) (Router, findings.List) {
	settings := DefaultRouter()
	list := load(&settings, sources)
	return settings, list
}

// LoadSidecar loads and validates a sidecar's settings.
func LoadSidecar(sources Sources) (Sidecar, findings.List) {
	settings := DefaultSidecar()
	list := load(&settings, sources)
	return settings, list
}

// load fills settings, a pointer to a struct, and validates them.
func load(settings Validator, sources Sources) findings.List {
	l := loader{fields: fieldsOf(reflect.ValueOf(settings).Elem()), origin: map[string]string{}, failed: map[string]bool{}}
	readable := l.readFile(sources.File)
	if l.raw != nil {
		findings.Locate(l.raw, l.list)
	}
	l.setFromStrings(sources.Env, sources.Flags)
	if readable { // otherwise every setting of the file would be reported as missing
		l.validate(settings)
	}
	l.list.Sort()
	return l.list
}

// fromFile is the origin of a value in the settings file, whose findings have a line
// and column.
const fromFile = "file"

type loader struct {
	fields []field
	raw    []byte
	list   findings.List
	origin map[string]string // source of each setting's value, by its JSON name
	failed map[string]bool   // settings whose value couldn't be parsed
}

// readFile sets the fields from the file, if there is one. It reports false if the file
// can't be read or is not a JSON object.
func (l *loader) readFile(path string) bool {
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
	l.setMembers(members)
	return true
}

func (l *loader) setMembers(members map[string]json.RawMessage) {
	for _, f := range l.fields {
		if value, ok := members[f.name]; ok {
			l.record(f, fromFile, f.setJSON(value))
			delete(members, f.name)
		}
	}
	for name := range members {
		l.list.Errorf(findings.Pointer(name), "unknown setting %q", name)
	}
}

func (l *loader) setFromStrings(env func(string) (string, bool), flags FlagSource) {
	for _, f := range l.fields {
		if env != nil {
			if value, ok := env(f.envName()); ok {
				l.record(f, "$"+f.envName(), f.setString(value))
			}
		}
		if flags != nil && flags.IsSet(f.flagName()) {
			l.record(f, "--"+f.flagName(), f.setString(flags.String(f.flagName())))
		}
	}
}

// record records the origin of a value and the error of parsing it.
func (l *loader) record(f field, origin string, err error) {
	l.origin[f.name] = origin
	if err == nil {
		return
	}
	l.failed[f.name] = true
	message := err.Error()
	if f.secret { // the error quotes the value
		message = "not " + f.typeName()
	}
	l.list.Errorf(findings.Pointer(f.name), "%s%s", message, originSuffix(origin))
}

func originSuffix(origin string) string {
	if origin == fromFile {
		return ""
	}
	return " (from " + origin + ")"
}

// validate adds the findings of the settings' own validation, except for settings
// that couldn't be parsed. A finding gets a line and column if its value comes from
// the file; otherwise its message names the origin of the value.
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
			finding.Message += originSuffix(origin)
			l.list = append(l.list, finding)
		default:
			l.list = append(l.list, finding)
		}
	}
	findings.Locate(l.raw, inFile)
	l.list = append(l.list, inFile...)
}

// masked replaces a secret that is set.
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
