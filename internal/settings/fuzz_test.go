package settings

import (
	"os"
	"testing"
)

// FuzzParse expects that the platform's settings are refused with an error or read, whatever they hold.
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
			t.Fatalf("%v, %v", parsed, err)
		}
	})
}
