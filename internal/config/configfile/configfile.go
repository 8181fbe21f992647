// Package configfile reads the operators' configuration file, a Jsonnet template, and checks it. It does no I/O but by the reader that it is
// given, and retains nothing of the evaluator. Its errors are config.Error values.
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

// ReadFile reads a file by its path.
type ReadFile func(path string) ([]byte, error)

// Read evaluates the template in a file, fills in defaults and checks the values. Imports are read by the same reader, relative to the file
// that names them.
func Read(file string, readFile ReadFile) (*config.Config, error) {
	var c config.Config
	if err := Evaluate(file, readFile, &c); err != nil {
		return nil, err
	}
	return &c, withFile(file, validate(&c))
}

// Evaluate evaluates a template and decodes the result into a pointer to a struct. A name that the struct does not have is an error: a setting
// that is spelt wrong must not be off unnoticed.
func Evaluate(file string, readFile ReadFile, into any) error {
	template, err := readFile(file)
	if err != nil {
		return config.Error{File: file, Text: err.Error(), Remedy: "name a file that can be read"}
	}
	if len(template) > maxFileBytes {
		return config.Error{File: file, Text: fmt.Sprintf("%d bytes", len(template)), Remedy: fmt.Sprintf("at most %d can be read", maxFileBytes)}
	}
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxStackDepth
	vm.Importer(&importer{readFile: readFile, contents: map[string]jsonnet.Contents{file: jsonnet.MakeContents(string(template))}})
	result, err := vm.EvaluateFile(file)
	if err != nil {
		return config.Error{File: file, Text: oneLine(err.Error()), Remedy: "mend the template there"}
	}
	return withFile(file, decode([]byte(result), into))
}

// withFile adds the file to an error of a value.
func withFile(file string, err error) error {
	var valueErr config.Error
	if errors.As(err, &valueErr) {
		valueErr.File = file
		return valueErr
	}
	return err
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// importer reads the files that a template names, each once.
type importer struct {
	readFile ReadFile
	contents map[string]jsonnet.Contents // by path
}

// tooManyImportsError ends an evaluation. The evaluator gives its text.
type tooManyImportsError struct{}

func (tooManyImportsError) Error() string {
	return fmt.Sprintf("more than %d files are imported", maxImports)
}

// Import reads a file for the evaluator.
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

// decode decodes what a template evaluated to.
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
			return config.Error{Path: typeErr.Field, Text: "is " + typeErr.Value, Remedy: "expected " + kindName(typeErr.Type)}
		}
		return config.Error{Text: err.Error()}
	}
	return nil
}

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
