package strictyaml

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// The decoder's messages name Go types. They are replaced by messages for the author of a document.
var (
	errorLine    = regexp.MustCompile(`(?s)^line (\d+): (.*)$`)
	unknownField = regexp.MustCompile(`^field (.+) not found in type \S+$`)
	duplicateKey = regexp.MustCompile(`^mapping key "(.*)" already defined at line (\d+)$`)
	wrongType    = regexp.MustCompile("(?s)^cannot unmarshal (\\S+)(?: `(.*)`)? into (\\S+)$")
)

// typeNames describes the Go types that documents decode into.
var typeNames = map[string]string{
	"int": "a whole number", "int64": "a whole number", "float64": "a number", "bool": "true or false", "string": "a text",
}

func (d *Document) addYAML(err error) {
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		for _, text := range typeErr.Errors {
			d.addLine(text)
		}
		return
	}
	d.addLine(strings.TrimPrefix(err.Error(), "yaml: "))
}

func (d *Document) addLine(text string) {
	line := 1
	if m := errorLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = m[2]
	}
	if m := unknownField.FindStringSubmatch(text); m != nil {
		d.add(line, fieldAtLine(d.root, line, "", m[1]), "unknown field")
		return
	}
	if m := duplicateKey.FindStringSubmatch(text); m != nil {
		d.add(line, fieldAtLine(d.root, line, "", m[1]), "is already given at line "+m[2])
		return
	}
	d.add(line, fieldAtLine(d.root, line, "", ""), plainMessage(text))
}

func plainMessage(text string) string {
	m := wrongType.FindStringSubmatch(text)
	if m == nil {
		return text
	}
	want, ok := typeNames[m[3]]
	switch {
	case strings.HasPrefix(m[3], "[]"):
		want = "a list"
	case !ok && (m[1] == "!!seq" || m[1] == "!!str" || m[1] == "!!int"):
		want = "a mapping of fields to values"
	case !ok:
		want = "a value of the expected type"
	}
	switch m[1] {
	case "!!map":
		return "a mapping is not " + want
	case "!!seq":
		return "a list is not " + want
	}
	return fmt.Sprintf("%q is not %s", m[2], want)
}

// fieldAtLine returns the dotted path of the mapping key at the line, or of the list element there. If name is not
// empty, the last part of the path must be equal to it.
func fieldAtLine(node *yaml.Node, line int, path, name string) string {
	if node == nil {
		return ""
	}
	found := ""
	for i, c := range node.Content {
		switch node.Kind {
		case yaml.SequenceNode:
			item := fmt.Sprintf("%s[%d]", path, i)
			if f := fieldAtLine(c, line, item, name); f != "" {
				found = f
			} else if c.Kind == yaml.ScalarNode && c.Line == line && name == "" {
				found = item
			}
		case yaml.MappingNode:
			if i%2 == 1 {
				continue
			}
			field := joinPath(path, c.Value)
			if c.Line == line && (name == "" || c.Value == name) {
				return field
			}
			if f := fieldAtLine(node.Content[i+1], line, field, name); f != "" {
				found = f
			}
		}
	}
	return found
}
