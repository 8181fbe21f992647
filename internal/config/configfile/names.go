package configfile

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"foldslip/internal/config"
)

// checkNames returns an error for the first name in a decoded JSON tree that the corresponding type does not have. It
// also returns an error for a value that is not an object but corresponds to a struct type.
func checkNames(path string, tree any, t reflect.Type) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := tree.(type) {
	case []any:
		if t.Kind() == reflect.Slice {
			return checkElements(path, value, t.Elem())
		}
	case map[string]any:
		if t.Kind() == reflect.Map {
			return checkValues(path, value, t.Elem())
		}
		if t.Kind() == reflect.Struct {
			return checkFields(path, value, t)
		}
	}
	isAbsent := tree == nil && path != ""
	if t.Kind() != reflect.Struct || isAbsent {
		return nil
	}
	return config.Error{Path: path, Text: "is not an object", Remedy: "expected { name: value, ... }"}
}

func checkElements(path string, elements []any, t reflect.Type) error {
	for i, element := range elements {
		if err := checkNames(fmt.Sprintf("%s[%d]", path, i), element, t); err != nil {
			return err
		}
	}
	return nil
}

func checkValues(path string, object map[string]any, t reflect.Type) error {
	for _, name := range slices.Sorted(maps.Keys(object)) {
		if err := checkNames(path+"."+name, object[name], t); err != nil {
			return err
		}
	}
	return nil
}

func checkFields(path string, object map[string]any, t reflect.Type) error {
	types := map[string]reflect.Type{}
	var known []string
	for _, field := range reflect.VisibleFields(t) {
		if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
			types[name] = field.Type
			known = append(known, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(object)) {
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		if types[name] == nil {
			return config.Error{Path: fieldPath, Text: "no such setting", Remedy: "known here: " + strings.Join(known, ", ")}
		}
		if err := checkNames(fieldPath, object[name], types[name]); err != nil {
			return err
		}
	}
	return nil
}
