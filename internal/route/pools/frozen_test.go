package pools

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// The files under testdata were written by the build before the names of Go changed.
func TestConfigurationFormIsUnchanged(t *testing.T) {
	frozen.JSON(t, "config.json", &Config{}, true)
	frozen.JSON(t, "empty-config.json", &Config{}, false)
}

func TestPlanFormsAreUnchanged(t *testing.T) {
	frozen.JSON(t, "load.json", &LoadSample{}, true)
	frozen.JSON(t, "move.json", &Impact{}, true)
	frozen.JSON(t, "empty-move.json", &Impact{}, false)
	frozen.JSON(t, "fault.json", &Problem{}, true)
}
