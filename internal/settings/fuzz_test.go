package settings

import (
	"os"
	"testing"
)

// FuzzParse checks that Parse returns either settings or an error for any text.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"bare", "full", "silent", "words"} {
		text, err := os.ReadFile("testdata/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if parsed, err := Parse(text); (err == nil) != (parsed != nil) {
			t.Fatalf("Parse returned settings %v and error %v, expected exactly one of them", parsed, err)
		}
	})
}
