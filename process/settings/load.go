package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/gravitational/trace"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	File string `json:"file"`
	// Line and Column count from one; zero when the fault is a missing field.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path names the field, such as "kv.timeout_ms".
	Path string `json:"path"`
	Text string `json:"text"`
}

// Error implements error.
func (f Fault) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", f.File, f.Path, f.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Text)
}

// Faults are all the faults of a file, in order of place.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file. The error is a Faults value if the file could be read but is not valid.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(path, text)
}

// Parse reads settings from text; name appears in the faults.
func Parse(name string, text []byte) (*Settings, error) {
	s := Defaults()
	if err := decode(name, text, &s, func(scan *scanner) Faults { return crossChecks(&s, scan) }); err != nil {
		return nil, err
	}
	return &s, nil
}

// decode reads a JSON document into target, which points to a struct with defaults, and returns all faults as a Faults value.
func decode(name string, text []byte, target any, crossChecks func(*scanner) Faults) error {
	scan := scanner{file: name, text: text, places: map[string]place{}}
	scan.document(reflect.TypeOf(target).Elem())
	if scan.wellFormed {
		// Unmarshal goes on after a value of the wrong type, so the fields that are right are still checked.
		if err := json.Unmarshal(text, target); err != nil && len(scan.faults) == 0 {
			scan.faults = append(scan.faults, Fault{File: name, Path: "(document)", Text: err.Error()})
		}
		scan.faults = append(scan.faults, validate(target, &scan)...)
		scan.faults = append(scan.faults, crossChecks(&scan)...)
	}
	if len(scan.faults) > 0 {
		sort.SliceStable(scan.faults, func(i, j int) bool { return before(scan.faults[i], scan.faults[j]) })
		return scan.faults
	}
	return nil
}

func before(a, b Fault) bool {
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	return a.Column < b.Column
}

var validate = func() func(any, *scanner) Faults {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return jsonName(f) })
	return func(target any, scan *scanner) Faults {
		var faults Faults
		var fieldErrors validator.ValidationErrors
		if errors.As(v.Struct(target), &fieldErrors) {
			for _, e := range fieldErrors {
				_, path, _ := strings.Cut(e.Namespace(), ".")
				if scan.faulty(path) {
					continue
				}
				at := scan.places[path]
				faults = append(faults, Fault{scan.file, at.line, at.column, path, explain(e)})
			}
		}
		return faults
	}
}()

func crossChecks(s *Settings, scan *scanner) Faults {
	if s.Role != RoleSidecar {
		return nil
	}
	var faults Faults
	if s.Upstream.Kind == "" && !scan.faulty("upstream.kind") {
		faults = append(faults, Fault{File: scan.file, Path: "upstream.kind", Text: `a sidecar needs "engine" or "plain"`})
	}
	if s.Upstream.URL == "" && !scan.faulty("upstream.url") {
		faults = append(faults, Fault{File: scan.file, Path: "upstream.url", Text: "a sidecar needs the base URL of its upstream"})
	}
	return faults
}

func explain(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "is required"
	case "required_if":
		return "is required for this role (" + strings.ToLower(e.Param()) + ")"
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", e.Value(), e.Param())
	case "tcp_addr":
		return fmt.Sprintf("%q is not an IP address with a port, such as 127.0.0.1:7000", e.Value())
	case "http_url":
		return fmt.Sprintf("%q is not a URL, such as http://127.0.0.1:8000", e.Value())
	case "min", "gt":
		return fmt.Sprintf("%v is too small: it must be %s %s", e.Value(), map[string]string{"min": "at least", "gt": "more than"}[e.Tag()], e.Param())
	case "max", "lte":
		return fmt.Sprintf("%v is too large: it must be at most %s", e.Value(), e.Param())
	default:
		return "fails the check " + e.Tag()
	}
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
