// Package strictyaml strictly decodes YAML documents and reports each error with its file, line and field.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Problem is one error in a document.
type Problem struct {
	File  string
	Line  int
	Field string
	Text  string
}

// String returns "file:line: field: text".
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Text)
}

// Error is the error for a document with one or more problems.
type Error struct{ Problems []Problem }

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Duration is a time.Duration that YAML documents write with a unit, such as 250ms.
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	v, err := time.ParseDuration(node.Value)
	if err != nil {
		return &yaml.TypeError{Errors: []string{
			fmt.Sprintf("line %d: %q is not a duration with a unit, such as 250ms", node.Line, node.Value),
		}}
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// AsDuration returns the value as time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Document is a decoded document with the lines of its fields and the problems found so far.
type Document struct {
	file     string
	root     *yaml.Node
	problems []Problem
}

// Decode decodes data into out, which must be a pointer to a struct. Unknown fields, duplicate keys, wrong types, fields
// without a value, fractions in integer fields and a second document are problems. The caller can add further problems to
// the returned Document; its Err method returns them all.
func Decode(file string, data []byte, out any) *Document {
	d := &Document{file: file}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		d.addDecoderError(err)
		return d
	}
	if len(root.Content) == 0 {
		d.add(1, "", "document is empty")
		return d
	}
	d.root = root.Content[0]
	if d.root.Kind != yaml.MappingNode {
		d.add(d.root.Line, "", "document is not a mapping of fields to values")
		return d
	}
	d.checkEmptyFields(d.root, "")
	d.checkFractions(d.root, reflect.TypeOf(out), "")
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(out); err != nil {
		d.addDecoderError(err)
		return d
	}
	var secondDoc yaml.Node
	if err := dec.Decode(&secondDoc); !errors.Is(err, io.EOF) {
		d.add(max(1, secondDoc.Line), "", "file holds more than one document")
	}
	return d
}

// checkEmptyFields adds a problem for each field without a value. The decoder would silently keep the default of such a
// field.
func (d *Document) checkEmptyFields(node *yaml.Node, path string) {
	for i, child := range node.Content {
		switch {
		case node.Kind == yaml.SequenceNode:
			d.checkEmptyFields(child, fmt.Sprintf("%s[%d]", path, i))
		case node.Kind == yaml.MappingNode && i%2 == 1:
			name := joinPath(path, node.Content[i-1].Value)
			if child.Tag == "!!null" {
				d.add(node.Content[i-1].Line, name, "has no value")
			}
			d.checkEmptyFields(child, name)
		}
	}
}

func joinPath(path, name string) string { return strings.TrimPrefix(path+"."+name, ".") }

func (d *Document) add(line int, field, text string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Field: field, Text: text})
}

// AddProblemf adds a problem of the field with the given dotted path, in which list elements are written as name[2].
func (d *Document) AddProblemf(field, format string, args ...any) {
	d.add(d.line(field), field, fmt.Sprintf(format, args...))
}

// Err returns an *Error with all problems, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return &Error{Problems: d.problems}
}

// line returns the line of the field, or of its nearest ancestor in the document.
func (d *Document) line(field string) int {
	node := d.root
	line := 1
	if node == nil {
		return line
	}
	line = node.Line
	for _, part := range strings.FieldsFunc(field, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		child, childLine := findChild(node, part)
		if child == nil {
			return line
		}
		node, line = child, childLine
	}
	return line
}

func findChild(node *yaml.Node, part string) (*yaml.Node, int) {
	if node.Kind == yaml.SequenceNode {
		i, err := strconv.Atoi(part)
		if err != nil || i < 0 || i >= len(node.Content) {
			return nil, 0
		}
		return node.Content[i], node.Content[i].Line
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == part {
			return node.Content[i+1], node.Content[i].Line
		}
	}
	return nil, 0
}
