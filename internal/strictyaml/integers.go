package strictyaml

import (
	"fmt"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// addFractions records numbers with a fraction or exponent in whole-number fields. The decoder would truncate them
// without an error.
func (d *Document) addFractions(node *yaml.Node, t reflect.Type, path string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case node.Kind == yaml.ScalarNode && node.Tag == "!!float" && isWhole(t):
		d.add(node.Line, path, fmt.Sprintf("%q is not a whole number", node.Value))
	case node.Kind == yaml.SequenceNode && t.Kind() == reflect.Slice:
		for i, c := range node.Content {
			d.addFractions(c, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
	case node.Kind == yaml.MappingNode && t.Kind() == reflect.Struct:
		for i := 0; i+1 < len(node.Content); i += 2 {
			name := node.Content[i].Value
			if field, ok := fieldNamed(t, name); ok {
				d.addFractions(node.Content[i+1], field.Type, joinPath(path, name))
			}
		}
	}
}

// isWhole reports whether the type is decoded as a whole number. Types with their own decoding are not.
func isWhole(t reflect.Type) bool {
	if reflect.PointerTo(t).Implements(reflect.TypeFor[yaml.Unmarshaler]()) {
		return false
	}
	return t.Kind() >= reflect.Int && t.Kind() <= reflect.Uint64
}

func fieldNamed(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if tag == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}
