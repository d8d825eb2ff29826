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

// Fault is a single validation error in a settings file.
type Fault struct {
	File string `json:"file"`
	// Line and Column start at 1. Both are zero if the error has no position, as for a missing field.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the path of the field, such as "kv.timeout_ms".
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

// Faults holds all validation errors of a file, ordered by position.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file. If the file can be read but is invalid, the error is of type Faults.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(path, text)
}

// Parse parses settings. name is the file name in validation errors.
func Parse(name string, text []byte) (*Settings, error) {
	s := Defaults()
	if err := decode(name, text, &s, func(scan *scanner) Faults { return crossChecks(&s, scan) }); err != nil {
		return nil, err
	}
	return &s, nil
}

// decode unmarshals a JSON document into target, which must point to a struct that holds the defaults. If the document is invalid, it
// returns all validation errors as Faults.
func decode(name string, text []byte, target any, crossChecks func(*scanner) Faults) error {
	scan := scanner{file: name, text: text, positions: map[string]position{}}
	scan.document(reflect.TypeOf(target).Elem())
	if scan.wellFormed {
		// Unmarshal skips a value of the wrong type and goes on, so the other fields are decoded and validated too.
		if err := json.Unmarshal(text, target); err != nil && len(scan.faults) == 0 {
			scan.faults = append(scan.faults, Fault{File: name, Path: "(document)", Text: err.Error()})
		}
		scan.faults = append(scan.faults, validate(target, &scan)...)
		scan.faults = append(scan.faults, crossChecks(&scan)...)
	}
	if len(scan.faults) > 0 {
		sort.SliceStable(scan.faults, func(i, j int) bool { return faultLess(scan.faults[i], scan.faults[j]) })
		return scan.faults
	}
	return nil
}

func faultLess(a, b Fault) bool {
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	return a.Column < b.Column
}

// validate checks the struct tags of target. It skips fields for which scan already has an error.
var validate = func() func(any, *scanner) Faults {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return jsonName(f) })
	return func(target any, scan *scanner) Faults {
		var faults Faults
		var fieldErrors validator.ValidationErrors
		if errors.As(v.Struct(target), &fieldErrors) {
			for _, e := range fieldErrors {
				_, path, _ := strings.Cut(e.Namespace(), ".")
				if scan.hasFault(path) {
					continue
				}
				at := scan.positions[path]
				faults = append(faults, Fault{scan.file, at.line, at.column, path, violationText(e)})
			}
		}
		return faults
	}
}()

// crossChecks requires upstream.kind and upstream.url for a sidecar.
func crossChecks(s *Settings, scan *scanner) Faults {
	if s.Role != RoleSidecar {
		return nil
	}
	var faults Faults
	if s.Upstream.Kind == "" && !scan.hasFault("upstream.kind") {
		faults = append(faults, Fault{File: scan.file, Path: "upstream.kind", Text: `a sidecar needs "engine" or "plain"`})
	}
	if s.Upstream.URL == "" && !scan.hasFault("upstream.url") {
		faults = append(faults, Fault{File: scan.file, Path: "upstream.url", Text: "a sidecar needs the base URL of its upstream"})
	}
	return faults
}

// violationText returns the error text for a violated struct tag.
func violationText(e validator.FieldError) string {
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
		return fmt.Sprintf("fails validation %q", e.Tag())
	}
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
