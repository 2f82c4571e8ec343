package strictyaml

import (
	"fmt"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// checkFractions adds a problem for each number with a fraction or exponent in an integer field. The decoder would
// silently truncate it.
func (d *Document) checkFractions(node *yaml.Node, t reflect.Type, path string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case node.Kind == yaml.ScalarNode && node.Tag == "!!float" && isInteger(t):
		d.add(node.Line, path, fmt.Sprintf("%q is not a whole number", node.Value))
	case node.Kind == yaml.SequenceNode && t.Kind() == reflect.Slice:
		for i, child := range node.Content {
			d.checkFractions(child, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
	case node.Kind == yaml.MappingNode && t.Kind() == reflect.Struct:
		for i := 0; i+1 < len(node.Content); i += 2 {
			name := node.Content[i].Value
			if field, ok := fieldByYAMLName(t, name); ok {
				d.checkFractions(node.Content[i+1], field.Type, joinPath(path, name))
			}
		}
	}
}

// isInteger reports whether values of the type are decoded as integers. Types that implement yaml.Unmarshaler are not.
func isInteger(t reflect.Type) bool {
	if reflect.PointerTo(t).Implements(reflect.TypeFor[yaml.Unmarshaler]()) {
		return false
	}
	return t.Kind() >= reflect.Int && t.Kind() <= reflect.Uint64
}

func fieldByYAMLName(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if tag == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}
