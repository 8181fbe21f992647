// Package frozen compares stored and sent formats byte for byte with golden files in
// testdata, which an earlier build wrote. It keeps no state. Only tests import it.
package frozen

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// Read returns the content of a file in the testdata folder of the calling package.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Equal fails the test if got differs from a file in the testdata folder of the calling package.
func Equal(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s differs: got\n%q\nwant\n%q", name, got, want)
	}
}

// EqualIndented fails the test if the indented JSON of value differs
// from a file in the testdata folder of the calling package.
func EqualIndented(t *testing.T, name string, value any) {
	t.Helper()
	got, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatalf("cannot encode the value for %s: %v", name, err)
	}
	Equal(t, name, append(got, '\n'))
}

// IndentedJSON decodes a file of indented JSON into a pointer and checks that the
// result encodes to the same bytes. A key that the type does not have fails the test.
func IndentedJSON(t *testing.T, name string, into any) {
	t.Helper()
	decode(t, name, into)
	EqualIndented(t, name, into)
}

// decode decodes a file of one JSON value. A key that the type does not have fails the test.
func decode(t *testing.T, name string, into any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(Read(t, name)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		t.Fatalf("cannot decode %s: %v", name, err)
	}
}

// JSON decodes a file of one JSON value into a pointer and checks that the result encodes to the same bytes. If
// complete is set, it also checks that the file sets every exported field, so that a changed key is always noticed.
func JSON(t *testing.T, name string, into any, complete bool) {
	t.Helper()
	decode(t, name, into)
	got, err := json.Marshal(into)
	if err != nil {
		t.Fatalf("cannot encode the value of %s: %v", name, err)
	}
	Equal(t, name, append(got, '\n'))
	if complete {
		Complete(t, name, into)
	}
}

// Complete fails the test for each exported field that is zero in a value that was decoded from a file.
func Complete(t *testing.T, name string, value any) {
	t.Helper()
	for _, path := range zeroFields("", reflect.ValueOf(value)) {
		t.Errorf("%s does not set field %s", name, path)
	}
}

// zeroFields returns the paths of the exported fields that are zero. Fields that are excluded from CBOR are skipped.
func zeroFields(path string, value reflect.Value) (zero []string) {
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			return zeroFields(path, value.Elem())
		}
	case reflect.Slice:
		for i := range value.Len() {
			zero = append(zero, zeroFields(fmt.Sprintf("%s[%d]", path, i), value.Index(i))...)
		}
		if value.Len() > 0 {
			return zero
		}
	case reflect.Struct:
		if _, isText := value.Interface().(interface{ MarshalText() ([]byte, error) }); isText {
			break
		}
		for i := range value.NumField() {
			field := value.Type().Field(i)
			if field.IsExported() && field.Tag.Get("cbor") != "-" {
				zero = append(zero, zeroFields(strings.TrimPrefix(path+"."+field.Name, "."), value.Field(i))...)
			}
		}
		return zero
	}
	if value.IsZero() {
		zero = append(zero, path)
	}
	return zero
}
