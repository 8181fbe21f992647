// Package golden compares what a package writes with files under its testdata folder. The files hold stored and sent forms as
// released builds wrote them, so a test that compares with them fails as soon as a form changes. It is for tests only and keeps no state.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// Read returns the content of a file under testdata and fails the test if there is none.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Equal fails the test unless got is the content of a file under testdata, byte for byte.
func Equal(t testing.TB, name string, got []byte) {
	t.Helper()
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: wrote\n%q\nthe file has\n%q", name, got, want)
	}
}

// JSON decodes a file under testdata into a T, with no key unknown, and fails the test unless encoding it, as the commands print it,
// gives the file byte for byte.
func JSON[T any](t testing.TB, name string) (value T) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(Read(t, name)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	var encoded bytes.Buffer
	if err := json.NewEncoder(&encoded).Encode(value); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	Equal(t, name, encoded.Bytes())
	return value
}
