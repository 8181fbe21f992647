// Package configfile reads and validates the operators' configuration file, which is a Jsonnet template. All I/O goes
// through the ReadFile function that the caller passes. The package keeps no state between calls. Problems in a
// configuration are returned as config.Error values.
package configfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"reflect"
	"strings"

	"github.com/google/go-jsonnet"

	"foldslip/internal/config"
)

const (
	maxFileBytes  = 1 << 20
	maxImports    = 16
	maxStackDepth = 200
)

// ReadFile returns the contents of the file at a path.
type ReadFile func(path string) ([]byte, error)

// Read evaluates the template in a file, fills in defaults and validates the values. Imported files are read by readFile
// too. A relative import path is resolved against the importing file.
func Read(file string, readFile ReadFile) (*config.Config, error) {
	var c config.Config
	if err := Evaluate(file, readFile, &c); err != nil {
		return nil, err
	}
	return &c, withFile(file, validate(&c))
}

// Evaluate evaluates a template and decodes the result into a pointer to a struct. A name that the struct does not have
// is an error, because a misspelt setting would otherwise be off without notice.
func Evaluate(file string, readFile ReadFile, into any) error {
	template, err := readFile(file)
	if err != nil {
		return config.Error{File: file, Text: err.Error(), Remedy: "name a readable file"}
	}
	if len(template) > maxFileBytes {
		return config.Error{File: file, Text: fmt.Sprintf("has %d bytes", len(template)),
			Remedy: fmt.Sprintf("expected at most %d bytes", maxFileBytes)}
	}
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxStackDepth
	vm.Importer(&importer{readFile: readFile, contents: map[string]jsonnet.Contents{file: jsonnet.MakeContents(string(template))}})
	result, err := vm.EvaluateFile(file)
	if err != nil {
		return config.Error{File: file, Text: oneLine(err.Error()), Remedy: "correct the template at that position"}
	}
	return withFile(file, decode([]byte(result), into))
}

// withFile sets the file of a config.Error. It returns other errors unchanged.
func withFile(file string, err error) error {
	var valueErr config.Error
	if errors.As(err, &valueErr) {
		valueErr.File = file
		return valueErr
	}
	return err
}

// oneLine replaces each run of white space by one space.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// importer reads the files that a template imports, each file once.
type importer struct {
	readFile ReadFile
	contents map[string]jsonnet.Contents // by path
}

// tooManyImportsError ends an evaluation. The evaluator includes its text in the error that it returns.
type tooManyImportsError struct{}

func (tooManyImportsError) Error() string {
	return fmt.Sprintf("the template imports more than %d files", maxImports)
}

// Import implements jsonnet.Importer.
func (i *importer) Import(importedFrom, importedPath string) (jsonnet.Contents, string, error) {
	at := importedPath
	if !path.IsAbs(importedPath) && importedFrom != "" {
		at = path.Join(path.Dir(importedFrom), importedPath)
	}
	if contents, isRead := i.contents[at]; isRead {
		return contents, at, nil
	}
	if len(i.contents) > maxImports {
		return jsonnet.Contents{}, "", tooManyImportsError{}
	}
	text, err := i.readFile(at)
	if err != nil {
		return jsonnet.Contents{}, "", err
	}
	i.contents[at] = jsonnet.MakeContents(string(text))
	return i.contents[at], at, nil
}

// decode checks the names in the JSON result of an evaluation and decodes it.
func decode(text []byte, into any) error {
	var tree any
	if err := json.Unmarshal(text, &tree); err != nil {
		return config.Error{Text: err.Error()}
	}
	if err := checkNames("", tree, reflect.TypeOf(into)); err != nil {
		return err
	}
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(into); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return config.Error{Path: typeErr.Field, Text: "is " + typeErr.Value,
				Remedy: "expected " + kindName(typeErr.Type)}
		}
		return config.Error{Text: err.Error()}
	}
	return nil
}

// kindName describes the JSON values that a type accepts.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Struct, reflect.Pointer:
		return "an object"
	}
	return t.String()
}
