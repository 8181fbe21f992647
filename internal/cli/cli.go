// Package cli is the command line: a file a sub-command, arguments read by kong. The bare program is the gateway, as the
// platform starts it. Exit status: 0 done, 1 what was asked for failed, 2 it could not be asked for like that.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

const (
	exitFailed = 1 // the gateway ended on an error, a seed broke a rule
	exitUsage  = 2 // arguments, a setting or a file that cannot be used
)

// UsageError is an error of whoever asks: exit status 2.
type UsageError struct{ Text string }

func (u UsageError) Error() string { return u.Text }

func usageErrorf(format string, a ...any) error { return UsageError{fmt.Sprintf(format, a...)} }

type commands struct {
	Lookup extprocCommand `name:"ask" cmd:"" passthrough:"" help:"Ask a door for one lookup and print its decisions (runs foldslip-extproc, which stands beside this program)."`
	List   list           `cmd:"" help:"Read and mend the list of caches that a gateway keeps on disk."`
	Config configCommands `cmd:"" help:"Check the operators' own settings, a Jsonnet template."`
	Faults faults         `cmd:"" help:"Play days of trouble on a virtual clock against this very gateway."`
	Fleet  fleet          `cmd:"" help:"Ask a gateway about the fleet that it sees, and try whole fleets under faults."`
	Serve  serve          `cmd:"" default:"withargs" help:"Be the gateway (what the bare program does): ROUTER_CONFIG names its configuration, ROUTER_NAME and ROUTER_LISTEN go before what stands in it. SIGTERM ends it once all it has taken is answered, SIGHUP moves it to the bulletin that the file then names."`
}

// Main runs the command that args name and gives the exit status.
func Main(args []string, out, errs io.Writer) (status int) {
	var all commands
	parser, err := kong.New(&all, kong.Name("foldslip"), kong.Writers(out, errs),
		kong.Description("A lookup router for caches that fill from parents and an origin."),
		kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(out, (*io.Writer)(nil)), kong.Bind(&streams{out, errs}),
		kong.Exit(func(code int) { panic(exitCode(code)) }))
	if err != nil {
		fmt.Fprintln(errs, "foldslip:", err)
		return exitUsage
	}
	defer func() {
		if p := recover(); p != nil {
			code, ok := p.(exitCode)
			if !ok {
				panic(p)
			}
			status = int(code)
		}
	}()
	asked, err := parser.Parse(args)
	if err != nil {
		return reportError(errs, usageErrorf("%v; see foldslip --help", err))
	}
	return reportError(errs, asked.Run())
}

type exitCode int

type streams struct{ out, errs io.Writer }

// reportError says an error in one line and gives the exit status that goes with it.
func reportError(errs io.Writer, err error) int {
	if err == nil {
		return 0
	}
	if errors.As(err, new(UsageError)) {
		fmt.Fprintln(errs, "foldslip:", strings.ReplaceAll(err.Error(), "\n", " "))
		return exitUsage
	}
	if !errors.As(err, new(reportedError)) {
		fmt.Fprintln(errs, "foldslip:", err)
	}
	return exitFailed
}

// reportedError is an error that has been told already.
type reportedError struct{ error }

// Run is the program.
func Run() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }
