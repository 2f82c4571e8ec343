package strictyaml

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// The messages of the YAML decoder contain Go types. These patterns match them, so that they can be replaced by messages
// for the author of a document.
var (
	linePattern         = regexp.MustCompile(`(?s)^line (\d+): (.*)$`)
	unknownFieldPattern = regexp.MustCompile(`^field (.+) not found in type \S+$`)
	duplicateKeyPattern = regexp.MustCompile(`^mapping key "(.*)" already defined at line (\d+)$`)
	wrongTypePattern    = regexp.MustCompile("(?s)^cannot unmarshal (\\S+)(?: `(.*)`)? into (\\S+)$")
)

// typeNames maps the Go types of fields to descriptions.
var typeNames = map[string]string{
	"int": "a whole number", "int64": "a whole number", "float64": "a number", "bool": "true or false", "string": "a text",
}

func (d *Document) addDecoderError(err error) {
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		for _, text := range typeErr.Errors {
			d.addDecoderMessage(text)
		}
		return
	}
	d.addDecoderMessage(strings.TrimPrefix(err.Error(), "yaml: "))
}

func (d *Document) addDecoderMessage(text string) {
	line := 1
	if match := linePattern.FindStringSubmatch(text); match != nil {
		line, _ = strconv.Atoi(match[1])
		text = match[2]
	}
	if match := unknownFieldPattern.FindStringSubmatch(text); match != nil {
		d.add(line, fieldAtLine(d.root, line, "", match[1]), "unknown field")
		return
	}
	if match := duplicateKeyPattern.FindStringSubmatch(text); match != nil {
		d.add(line, fieldAtLine(d.root, line, "", match[1]), "is already given at line "+match[2])
		return
	}
	d.add(line, fieldAtLine(d.root, line, "", ""), typeErrorMessage(text))
}

func typeErrorMessage(text string) string {
	match := wrongTypePattern.FindStringSubmatch(text)
	if match == nil {
		return text
	}
	want, ok := typeNames[match[3]]
	switch {
	case strings.HasPrefix(match[3], "[]"):
		want = "a list"
	case !ok && (match[1] == "!!seq" || match[1] == "!!str" || match[1] == "!!int"):
		want = "a mapping of fields to values"
	case !ok:
		want = "a value of the expected type"
	}
	switch match[1] {
	case "!!map":
		return "a mapping is not " + want
	case "!!seq":
		return "a list is not " + want
	}
	return fmt.Sprintf("%q is not %s", match[2], want)
}

// fieldAtLine returns the dotted path of the mapping key or list element at the line, or "" if there is none. If name is
// not empty, only a key with that name matches.
func fieldAtLine(node *yaml.Node, line int, path, name string) string {
	if node == nil {
		return ""
	}
	found := ""
	for i, child := range node.Content {
		switch node.Kind {
		case yaml.SequenceNode:
			item := fmt.Sprintf("%s[%d]", path, i)
			if f := fieldAtLine(child, line, item, name); f != "" {
				found = f
			} else if child.Kind == yaml.ScalarNode && child.Line == line && name == "" {
				found = item
			}
		case yaml.MappingNode:
			if i%2 == 1 {
				continue
			}
			field := joinPath(path, child.Value)
			if child.Line == line && (name == "" || child.Value == name) {
				return field
			}
			if f := fieldAtLine(node.Content[i+1], line, field, name); f != "" {
				found = f
			}
		}
	}
	return found
}
