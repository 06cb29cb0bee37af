package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
)

// EnvPrefix is the prefix of the environment variables that hold settings.
const EnvPrefix = "PEARYARD_"

// field is one setting of a struct; its names in the three sources derive from name.
type field struct {
	value  reflect.Value
	name   string // in JSON
	usage  string
	secret bool
}

// fieldsOf returns the settings of a struct, those of embedded structs first.
func fieldsOf(settings reflect.Value) []field {
	var out []field
	for i := range settings.NumField() {
		t := settings.Type().Field(i)
		if t.Anonymous {
			out = append(out, fieldsOf(settings.Field(i))...)
			continue
		}
		out = append(out, field{value: settings.Field(i), name: t.Tag.Get("json"), usage: t.Tag.Get("usage"),
			secret: t.Tag.Get("secret") != ""})
	}
	return out
}

// envName returns the name of the environment variable, such as PEARYARD_POLL_SECONDS.
func (f field) envName() string { return EnvPrefix + strings.ToUpper(f.splitName('_')) }

// flagName returns the name of the flag, such as poll-seconds.
func (f field) flagName() string { return f.splitName('-') }

// splitName returns the JSON name in lower case, split at its capitals; a run of
// capitals is one word.
func (f field) splitName(separator rune) string {
	var b strings.Builder
	runes := []rune(f.name)
	for i, r := range runes {
		if i > 0 && unicode.IsUpper(r) && !unicode.IsUpper(runes[i-1]) {
			b.WriteRune(separator)
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// setJSON sets the field from its value in the settings file.
func (f field) setJSON(raw json.RawMessage) error {
	if err := json.Unmarshal(raw, f.value.Addr().Interface()); err != nil {
		return errors.Errorf("%s is not %s", raw, f.typeName())
	}
	return nil
}

// setString sets the field from an environment variable or a flag.
func (f field) setString(s string) error {
	switch f.value.Kind() {
	case reflect.String:
		f.value.SetString(s)
	case reflect.Int:
		n, err := strconv.Atoi(s)
		if err != nil {
			return errors.Errorf("%q is not %s", s, f.typeName())
		}
		f.value.SetInt(int64(n))
	case reflect.Slice:
		f.value.Set(reflect.ValueOf(splitList(s)))
	default:
		panic(fmt.Sprintf("setting %s has an unsupported type", f.name)) // found by any test that sets it
	}
	return nil
}

func (f field) typeName() string {
	switch f.value.Kind() {
	case reflect.Int:
		return "a whole number"
	case reflect.Slice:
		return "a list of strings"
	default:
		return "a string"
	}
}

func splitList(s string) []string {
	var out []string
	for item := range strings.SplitSeq(s, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

// Flags returns a flag for each setting; defaults is a pointer to the settings
// whose values the help shows as defaults. All flags take strings, so that a
// malformed number is reported together with the other findings.
func Flags(defaults any) []cli.Flag {
	var flags []cli.Flag
	for _, f := range fieldsOf(reflect.ValueOf(defaults).Elem()) {
		usage := fmt.Sprintf("%s [$%s]", f.usage, f.envName())
		if f.value.Kind() == reflect.Int {
			usage += fmt.Sprintf(" (default: %d)", f.value.Int())
		}
		flags = append(flags, &cli.StringFlag{Name: f.flagName(), Usage: usage})
	}
	return flags
}
