package pools

import (
	"foldslip/internal/config"
	"testing"

	"foldslip/internal/lab/frozen"
)

// The files under testdata were written by a build from before the Go identifiers
// were renamed. The tests check that the renaming did not change the encoded forms.
func TestConfigurationFormIsUnchanged(t *testing.T) {
	frozen.JSON(t, "config.json", &config.RouteConfig{}, true)
	frozen.JSON(t, "empty-config.json", &config.RouteConfig{}, false)
}

func TestPlanFormsAreUnchanged(t *testing.T) {
	frozen.JSON(t, "load.json", &LoadSample{}, true)
	frozen.JSON(t, "move.json", &Impact{}, true)
	frozen.JSON(t, "empty-move.json", &Impact{}, false)
	frozen.JSON(t, "fault.json", &Problem{}, true)
}
