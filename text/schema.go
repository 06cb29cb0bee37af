package text

import (
	"bytes"
	_ "embed"
	"fmt"
	"sync"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/pearyard/pearyard/findings"
)

//go:embed schema.json
var schemaJSON []byte

// Schema returns the published JSON Schema of the configuration.
func Schema() []byte { return bytes.Clone(schemaJSON) }

const (
	schemaURL             = "text.json"
	organisationSchemaURL = schemaURL + "#/$defs/organisation"
	organisationsMember   = "organisations"
)

// schemas are compiled on first use: most processes only load configurations that
// were validated when they were accepted.
var schemas = sync.OnceValue(func() compiledSchemas {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err) // the embedded schema is always valid JSON
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaURL, doc); err != nil {
		panic(err)
	}
	return compiledSchemas{text: c.MustCompile(schemaURL), organisation: c.MustCompile(organisationSchemaURL)}
})

type compiledSchemas struct{ text, organisation *jsonschema.Schema }

// checkSchema validates a well-formed JSON document. The organisations are
// validated one at a time: decoded together, 48,000 of them would exceed a
// process's memory limit.
func checkSchema(raw []byte, list *findings.List) {
	dec := jsontext.NewDecoder(bytes.NewBuffer(raw), jsontext.AllowDuplicateNames(true))
	if dec.PeekKind() != '{' {
		validate(schemas().text, raw, list)
		return
	}
	_, _ = dec.ReadToken()
	rest := map[string]any{}
	for dec.PeekKind() == '"' {
		name, err := dec.ReadToken()
		if err != nil {
			return
		}
		member := name.String()
		if member == organisationsMember && dec.PeekKind() == '[' {
			checkOrganisations(dec, list)
			continue
		}
		value, err := dec.ReadValue()
		if err != nil {
			return
		}
		rest[member] = decodeAny(value)
	}
	report(schemas().text.Validate(rest), nil, list)
}

func checkOrganisations(dec *jsontext.Decoder, list *findings.List) {
	_, _ = dec.ReadToken()
	for i := 0; dec.PeekKind() != ']'; i++ {
		value, err := dec.ReadValue()
		if err != nil {
			return
		}
		validate(schemas().organisation, value, list, organisationsMember, i)
	}
	_, _ = dec.ReadToken()
}

func validate(schema *jsonschema.Schema, raw []byte, list *findings.List, prefix ...any) {
	report(schema.Validate(decodeAny(raw)), prefix, list)
}

// decodeAny decodes well-formed JSON for the validator.
func decodeAny(raw []byte) any {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil // findings.Syntax has reported it already
	}
	return value
}

var english = message.NewPrinter(language.English)

func report(err error, prefix []any, list *findings.List) {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return
	}
	reportLeaves(invalid, prefix, list)
}

// reportLeaves adds a finding for each innermost cause of a validation error, since
// only these point to the invalid value.
func reportLeaves(e *jsonschema.ValidationError, prefix []any, list *findings.List) {
	for _, cause := range e.Causes {
		reportLeaves(cause, prefix, list)
	}
	if len(e.Causes) > 0 {
		return
	}
	pointer := findings.Pointer(prefix...)
	for _, token := range e.InstanceLocation {
		pointer += findings.Pointer(token)
	}
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			list.Errorf(pointer+findings.Pointer(name), "unknown field %q", name)
		}
	case *kind.Required:
		for _, name := range k.Missing {
			list.Errorf(pointer, "field %q is missing", name)
		}
	case *kind.Minimum:
		list.Errorf(pointer, "%s is below the least value allowed, %s", k.Got.RatString(), k.Want.RatString())
	default:
		list.Errorf(pointer, "%s", fmt.Sprint(e.ErrorKind.LocalizedString(english)))
	}
}
