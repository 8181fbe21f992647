package pools

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// The files under testdata were written by the build before the names of Go changed.
func TestConfigurationKeepsItsForm(t *testing.T) {
	frozen.JSON(t, "config.json", &Config{}, true)
	frozen.JSON(t, "empty-config.json", &Config{}, false)
}

func TestPlansKeepTheirForm(t *testing.T) {
	frozen.JSON(t, "load.json", &Load{}, true)
	frozen.JSON(t, "move.json", &Move{}, true)
	frozen.JSON(t, "empty-move.json", &Move{}, false)
	frozen.JSON(t, "fault.json", &Fault{}, true)
}
