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

// place is a position in the file, counted from one.
type place struct{ line, column int }

// scanner walks a JSON document beside the type that it is decoded into. It notes where each field stands and collects
// unknown fields and values of the wrong type, which encoding/json reports only one at a time and without a line.
type scanner struct {
	file       string
	text       []byte
	dec        *json.Decoder
	faults     Faults
	places     map[string]place
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
		s.add("(document)", s.at(s.dec.InputOffset()), "there is text after the end of the settings")
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
	s.add("(document)", s.at(offset), "not JSON: "+err.Error())
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
		s.add(path, s.at(start), "must be "+describe(t))
		return s.skip()
	}
	if !fits(token, t) {
		s.add(path, s.at(start), fmt.Sprintf("is %v, must be %s", token, describe(t)))
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
		child := join(path, name)
		if _, twice := s.places[child]; twice {
			s.add(child, s.at(start), "appears twice")
		}
		s.places[child] = s.at(start)
		field, known := fieldByName(t, name)
		if !known {
			s.add(child, s.at(start), "unknown field; known here: "+strings.Join(fieldNames(t), ", "))
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
		s.places[child] = s.at(s.nextOffset())
		if err := s.value(elem, child); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

// skip reads to the end of the object or array whose first token was just read.
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

// nextOffset is the offset of the next token, past white space and separators.
func (s *scanner) nextOffset() int64 {
	offset := s.dec.InputOffset()
	for int(offset) < len(s.text) && strings.IndexByte(" \t\r\n,:", s.text[offset]) >= 0 {
		offset++
	}
	return offset
}

func (s *scanner) at(offset int64) place {
	before := s.text[:min(int(offset), len(s.text))]
	line := bytes.Count(before, []byte("\n"))
	column := len(before) - 1 - bytes.LastIndexByte(before, '\n')
	return place{line + 1, column + 1}
}

func (s *scanner) add(path string, at place, text string) {
	if path == "" {
		path = "(document)"
	}
	s.faults = append(s.faults, Fault{s.file, at.line, at.column, path, text})
}

// faulty reports whether path already has a fault, so that a follow-up of it is not reported too.
func (s *scanner) faulty(path string) bool {
	for _, f := range s.faults {
		if f.Path == path {
			return true
		}
	}
	return false
}

func fits(token json.Token, t reflect.Type) bool {
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

func describe(t reflect.Type) string {
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

func join(path, name string) string {
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
