package config

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// TestConfigurationFormIsUnchanged guards against renamed Go identifiers that change the JSON form of the configuration.
// An earlier build, with other Go names, wrote the files under testdata.
func TestConfigurationFormIsUnchanged(t *testing.T) {
	frozen.JSON(t, "settings.json", &Config{}, true)
	frozen.JSON(t, "empty.json", &Config{}, false)
	frozen.JSON(t, "fault.json", &Error{}, true)
}
