package program

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

var errBroken = errors.New("broken\nin two lines")

// testCommands has a command that succeeds, and one that fails with a selected kind of error.
type testCommands struct {
	Succeed succeedCommand `cmd:"" help:"Succeed."`
	Fail    failCommand    `cmd:"" help:"Fail."`
}

type succeedCommand struct{}

func (succeedCommand) Run(streams *Streams) error {
	_, err := fmt.Fprintln(streams.Out, "done")
	return err
}

type failCommand struct {
	With string `arg:""`
}

func (c failCommand) Run() error {
	return map[string]error{
		"failure":  errBroken,
		"usage":    fmt.Errorf("wrapped: %w", UsageErrorf("%w", errBroken)),
		"reported": ReportedError{errBroken},
		"found":    Failedf("%d broken", 2),
	}[c.With]
}

// TestExitStatusAndMessages checks the exit status and the printed text for each way in which a command can end.
func TestExitStatusAndMessages(t *testing.T) {
	for _, test := range []struct {
		args   string
		status int
		out    string
		errs   string
	}{
		{"succeed", ExitOK, "done\n", ""},
		{"fail failure", ExitFailed, "", "test: broken in two lines\n"},
		{"fail usage", ExitUsage, "", "test: wrapped: broken in two lines\n"},
		{"fail reported", ExitFailed, "", ""},
		{"fail found", ExitFailed, "", "test: 2 broken\n"},
		{"nonsense", ExitUsage, "", "test: unexpected argument nonsense; see test --help\n"},
	} {
		t.Run(test.args, func(t *testing.T) {
			var out, errs bytes.Buffer
			program := Program{Name: "test", Hint: "; see test --help", FormatError: OneLine}
			status := program.Main(&testCommands{}, strings.Fields(test.args), &Streams{Out: &out, Err: &errs})
			if status != test.status || out.String() != test.out || errs.String() != test.errs {
				t.Errorf("status %d, out %q, errors %q", status, out.String(), errs.String())
			}
		})
	}
	t.Run("--help", func(t *testing.T) {
		var out, errs bytes.Buffer
		status := Program{Name: "test"}.Main(&testCommands{}, []string{"--help"}, &Streams{Out: &out, Err: &errs})
		if status != ExitOK || !strings.Contains(out.String(), "succeed") || errs.Len() > 0 {
			t.Errorf("status %d, out %q, errors %q", status, out.String(), errs.String())
		}
	})
}

// TestParseSeedRange checks the valid and invalid forms of a range, and the limits on its size and on the seeds.
func TestParseSeedRange(t *testing.T) {
	for _, test := range []struct {
		text string
		want SeedRange
		ok   bool
	}{
		{"7", SeedRange{7, 7}, true},
		{"1-20", SeedRange{1, 20}, true},
		{"1-21", SeedRange{}, false},
		{"4294967295", SeedRange{4294967295, 4294967295}, true},
		{"4294967296", SeedRange{}, false},
		{"9-3", SeedRange{}, false},
		{"7-x", SeedRange{}, false},
		{"x-7", SeedRange{}, false},
		{"-", SeedRange{}, false},
		{"", SeedRange{}, false},
	} {
		if got, ok := ParseSeedRange(test.text, 20, 32); got != test.want || ok != test.ok {
			t.Errorf("%q: %v, %v; want %v, %v", test.text, got, ok, test.want, test.ok)
		}
	}
}
