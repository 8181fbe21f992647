package scale

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// TestReportsKeepTheirForm decodes stored reports, and a stored command to and reply from a process of hollow gateways,
// with every field set. Encoding them again has to give the same bytes.
func TestReportsKeepTheirForm(t *testing.T) {
	frozen.IndentedJSON(t, "watch-report.json", &WatchReport{})
	frozen.IndentedJSON(t, "broadcast-report.json", &BroadcastReport{})
	frozen.IndentedJSON(t, "fit.json", &Fit{})
	frozen.IndentedJSON(t, "order.json", &command{})
	frozen.IndentedJSON(t, "answer.json", &reply{})
}

func TestPlatformSettingsKeepTheirForm(t *testing.T) {
	frozen.EqualIndented(t, "settings.json", Settings(ScaledLayout(12), 5, 3))
}
