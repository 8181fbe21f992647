package configfile

import (
	"encoding/json"
	"os"
	"testing"

	"foldslip/internal/lab/frozen"
)

// The file under testdata was written by the build before the names of Go changed.
func TestTheDeployFileGivesTheSameConfiguration(t *testing.T) {
	c, err := Read("../../../deploy/foldslip.jsonnet", os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	frozen.Equal(t, "deploy.json", append(text, '\n'))
}
