package config

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// The files under testdata were written by the build before the names of Go changed.
func TestConfigurationFormIsUnchanged(t *testing.T) {
	frozen.JSON(t, "settings.json", &Config{}, true)
	frozen.JSON(t, "empty.json", &Config{}, false)
	frozen.JSON(t, "fault.json", &Error{}, true)
}
