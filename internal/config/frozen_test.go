package config

import (
	"encoding/json"
	"os"
	"testing"

	"foldslip/internal/lab/frozen"
)

// The files under testdata were written by the build before the names of Go changed.
func TestSettingsKeepTheirForm(t *testing.T) {
	frozen.JSON(t, "settings.json", &Config{}, true)
	frozen.JSON(t, "empty.json", &Config{}, false)
	frozen.JSON(t, "fault.json", &Error{}, true)
}

func TestDeployFileGivesTheSameSettings(t *testing.T) {
	settings, err := Read("../../deploy/foldslip.jsonnet", os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	frozen.Equal(t, "deploy.json", append(text, '\n'))
}
