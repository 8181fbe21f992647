package scale

import (
	"errors"
	"testing"
)

// TestFailuresAreMatchedByType checks the type and the text of the errors that a caller can cause without starting a
// process.
func TestFailuresAreMatchedByType(t *testing.T) {
	isType := func(target any) func(error) bool {
		return func(err error) bool { return errors.As(err, target) }
	}
	var (
		option  *OptionError
		axis    *LogAxisError
		sizes   *TooFewSizesError
		figures *FigureCountError
		gateway *UnknownGatewayError
		action  *UnknownActionError
	)
	emptyDir := t.TempDir()
	for name, test := range map[string]struct {
		fail    func() error
		matches func(error) bool
		text    string
	}{
		"watch options":       {func() error { _, err := Watch(WatchOptions{}); return err }, isType(&option), "0 gateways, expected 1 to 8192"},
		"broadcast options":   {func() error { return BroadcastOptions{Gateways: 3}.Validate() }, isType(&option), "3 gateways: expected 12 to 10000"},
		"discovery options":   {func() error { _, err := NewDiscovery(DiscoveryOptions{}); return err }, isType(&option), "0 gateways watch, expected 1 to 8192"},
		"value of 0":          {func() error { _, err := FitLine("a", map[int][]float64{2: {0}}); return err }, isType(&axis), "a: value 0 at 2 gateways, expected a positive and finite one for log axes"},
		"value drawn of 0":    {func() error { return figure(0, 1, func(float64) float64 { return 0 }, 10).Draw(emptyDir) }, isType(&axis), "a: value 0, expected a positive and finite one for a log axis"},
		"one size":            {func() error { _, err := FitLine("a", map[int][]float64{2: {1}}); return err }, isType(&sizes), "a: measured at 1 sizes, expected at least 2 to fit a line"},
		"folder without any":  {func() error { _, err := ReadCapacityFigures(emptyDir); return err }, isType(&figures), emptyDir + ": 0 figures (*.json), expected 1 to 256"},
		"position not kept":   {func() error { _, err := (&ArrivalLog{}).Since(0, 1); return err }, func(err error) bool { return errors.Is(err, ErrPositionNotKept) }, "invalid range of event positions, expected 1 <= from <= to <= 1048576"},
		"gateway not started": {func() error { return (&hollowServer{}).handle(&command{Action: "halt", First: 4}, &reply{}) }, isType(&gateway), "gateway 4 does not run in this process"},
		"action not known":    {func() error { return (&hollowServer{}).handle(&command{Action: "dance"}, &reply{}) }, isType(&action), `unknown action "dance"`},
	} {
		t.Run(name, func(t *testing.T) {
			if err := test.fail(); err == nil || !test.matches(err) || err.Error() != test.text {
				t.Errorf("got %T: %v, expected %q", err, err, test.text)
			}
		})
	}
}
