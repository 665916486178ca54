// Package document decodes JSON settings and manifests strictly. It reports
// all unknown fields, wrong types, missing values and contradictory values at
// once, each with its JSON path.
package document

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"path"
	"reflect"
	"sort"
	"strings"
	"sync"

	"github.com/invopop/jsonschema"
	checker "github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Problem is one error in a document.
type Problem struct {
	// Path is a JSON pointer to the invalid value. It is empty for the whole
	// document.
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

func (p Problem) String() string { return cmp.Or(p.Path, "/") + ": " + p.Reason }

// InvalidError lists all errors found in a document.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return "invalid document: " + strings.Join(lines, "; ")
}

// Checker is implemented by documents that have rules across several fields.
type Checker interface {
	// Check returns all violations of these rules.
	Check() []Problem
}

// Decode decodes data into v, a pointer to a struct with json tags. The error
// is an *InvalidError if the document is invalid.
func Decode(data []byte, v any) error {
	problems, err := validateSchema(data, v)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return &InvalidError{Problems: []Problem{{Reason: err.Error()}}}
	}
	if c, ok := v.(Checker); ok {
		if problems := c.Check(); len(problems) > 0 {
			return &InvalidError{Problems: problems}
		}
	}
	return nil
}

// Schema returns the JSON Schema for the type of v, against which Decode
// validates documents.
func Schema(v any) ([]byte, error) {
	r := &jsonschema.Reflector{Anonymous: true, Namer: qualifiedName}
	data, err := json.MarshalIndent(r.Reflect(v), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("marshal schema of %T: %w", v, err)
	}
	return data, nil
}

// qualifiedName returns a schema definition name that includes the package.
// With the bare type name, two types of the same name, such as ident.Workspace
// and manifest.Workspace, would share one definition, and values of one would
// be validated against the other.
func qualifiedName(t reflect.Type) string {
	if t.Name() == "" {
		return ""
	}
	return path.Base(t.PkgPath()) + "." + t.Name()
}

var compiledSchemas sync.Map // reflect.Type -> *checker.Schema

func schemaFor(v any) (*checker.Schema, error) {
	t := reflect.TypeOf(v)
	if s, ok := compiledSchemas.Load(t); ok {
		return s.(*checker.Schema), nil
	}
	data, err := Schema(v)
	if err != nil {
		return nil, err
	}
	doc, err := checker.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("read schema of %T: %w", v, err)
	}
	c := checker.NewCompiler()
	if err := c.AddResource("document.json", doc); err != nil {
		return nil, fmt.Errorf("add schema of %T: %w", v, err)
	}
	s, err := c.Compile("document.json")
	if err != nil {
		return nil, fmt.Errorf("compile schema of %T: %w", v, err)
	}
	compiledSchemas.Store(t, s)
	return s, nil
}

func validateSchema(data []byte, v any) ([]Problem, error) {
	s, err := schemaFor(v)
	if err != nil {
		return nil, err
	}
	value, err := checker.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return []Problem{{Reason: err.Error()}}, nil
	}
	err = s.Validate(value)
	if err == nil {
		return nil, nil
	}
	invalid, ok := err.(*checker.ValidationError)
	if !ok {
		return nil, fmt.Errorf("validate %T: %w", v, err)
	}
	problems := appendLeafProblems(invalid, nil)
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
	return problems, nil
}

func appendLeafProblems(e *checker.ValidationError, problems []Problem) []Problem {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			problems = appendLeafProblems(cause, problems)
		}
		return problems
	}
	pointer := ""
	for _, part := range e.InstanceLocation {
		pointer += "/" + part
	}
	reason := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return append(problems, Problem{Path: pointer, Reason: reason})
}
