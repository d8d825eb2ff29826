package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"
)

// position is a location in the file. Lines and columns start at 1.
type position struct{ line, column int }

// scanner walks a JSON document alongside the Go type that it will be decoded into. It records the position of each field and collects
// all unknown fields and type mismatches. encoding/json reports only one of them at a time and no line numbers.
type scanner struct {
	file       string
	text       []byte
	dec        *json.Decoder
	faults     Faults
	positions  map[string]position
	wellFormed bool
}

func (s *scanner) document(t reflect.Type) {
	s.dec = json.NewDecoder(bytes.NewReader(s.text))
	s.dec.UseNumber()
	if err := s.value(t, ""); err != nil {
		s.syntaxFault(err)
		return
	}
	if _, err := s.dec.Token(); !errors.Is(err, io.EOF) {
		s.addFault("(document)", s.positionAt(s.dec.InputOffset()), "unexpected text after the end of the document")
		return
	}
	s.wellFormed = true
}

func (s *scanner) syntaxFault(err error) {
	offset := s.dec.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	s.addFault("(document)", s.positionAt(offset), "invalid JSON: "+err.Error())
}

func (s *scanner) value(t reflect.Type, path string) error {
	start := s.nextOffset()
	token, err := s.dec.Token()
	if err != nil {
		return err
	}
	switch delim, _ := token.(json.Delim); {
	case delim == '{' && t.Kind() == reflect.Struct:
		return s.object(t, path)
	case delim == '[' && t.Kind() == reflect.Slice:
		return s.array(t.Elem(), path)
	case delim != 0:
		s.addFault(path, s.positionAt(start), "must be "+typeDescription(t))
		return s.skip()
	}
	if !tokenMatches(token, t) {
		s.addFault(path, s.positionAt(start), fmt.Sprintf("is %v, must be %s", token, typeDescription(t)))
	}
	return nil
}

func (s *scanner) object(t reflect.Type, path string) error {
	for s.dec.More() {
		start := s.nextOffset()
		token, err := s.dec.Token()
		if err != nil {
			return err
		}
		name := token.(string)
		child := joinPath(path, name)
		if _, duplicate := s.positions[child]; duplicate {
			s.addFault(child, s.positionAt(start), "duplicate field")
		}
		s.positions[child] = s.positionAt(start)
		field, known := fieldByName(t, name)
		if !known {
			s.addFault(child, s.positionAt(start), "unknown field; valid fields: "+strings.Join(fieldNames(t), ", "))
			var ignored json.RawMessage
			if err := s.dec.Decode(&ignored); err != nil {
				return err
			}
			continue
		}
		if err := s.value(field.Type, child); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

func (s *scanner) array(elem reflect.Type, path string) error {
	for i := 0; s.dec.More(); i++ {
		child := fmt.Sprintf("%s[%d]", path, i)
		s.positions[child] = s.positionAt(s.nextOffset())
		if err := s.value(elem, child); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

// skip consumes the rest of the object or array whose opening token was just read.
func (s *scanner) skip() error {
	for depth := 1; depth > 0; {
		token, err := s.dec.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

// nextOffset returns the offset of the next token, after whitespace and separators.
func (s *scanner) nextOffset() int64 {
	offset := s.dec.InputOffset()
	for int(offset) < len(s.text) && strings.IndexByte(" \t\r\n,:", s.text[offset]) >= 0 {
		offset++
	}
	return offset
}

func (s *scanner) positionAt(offset int64) position {
	before := s.text[:min(int(offset), len(s.text))]
	line := bytes.Count(before, []byte("\n"))
	column := len(before) - 1 - bytes.LastIndexByte(before, '\n')
	return position{line + 1, column + 1}
}

func (s *scanner) addFault(path string, at position, text string) {
	if path == "" {
		path = "(document)"
	}
	s.faults = append(s.faults, Fault{s.file, at.line, at.column, path, text})
}

// hasFault reports whether an error was already recorded for path. It is used to suppress errors that follow from an earlier one.
func (s *scanner) hasFault(path string) bool {
	for _, f := range s.faults {
		if f.Path == path {
			return true
		}
	}
	return false
}

func tokenMatches(token json.Token, t reflect.Type) bool {
	switch value := token.(type) {
	case string:
		return t.Kind() == reflect.String
	case bool:
		return t.Kind() == reflect.Bool
	case json.Number:
		if t.Kind() == reflect.Int {
			_, err := value.Int64()
			return err == nil
		}
		return t.Kind() == reflect.Float64
	default:
		return false
	}
}

func typeDescription(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "an array"
	default:
		return "an object"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldByName(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if jsonName(t.Field(i)) == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = jsonName(t.Field(i))
	}
	sort.Strings(names)
	return names
}
