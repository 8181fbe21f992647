package configfile

import (
	"encoding/json"
	"os"
	"testing"

	"foldslip/internal/lab/frozen"
)

// TestTheDeployFileGivesTheSameConfiguration guards against changes that make the deployed file read as another
// configuration. An earlier build, with other Go names, wrote the file under testdata.
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
