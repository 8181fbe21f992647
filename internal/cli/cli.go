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
	failed = 1 // the gateway ended on an error, a seed broke a rule
	misuse = 2 // arguments, a setting or a file that cannot be used
)

// Usage is an error of whoever asks: exit status 2.
type Usage struct{ Text string }

func (u Usage) Error() string { return u.Text }

func usage(format string, a ...any) error { return Usage{fmt.Sprintf(format, a...)} }

type commands struct {
	Ask    beside  `name:"ask" cmd:"" passthrough:"" help:"Ask a door for one lookup and print its decisions (runs foldslip-extproc, which stands beside this program)."`
	List   list    `cmd:"" help:"Read and mend the list of caches that a gateway keeps on disk."`
	Config configs `cmd:"" help:"Check the operators' own settings, a Jsonnet template."`
	Faults faults  `cmd:"" help:"Play days of trouble on a virtual clock against this very gateway."`
	Fleet  fleet   `cmd:"" help:"Ask a gateway about the fleet that it sees, and try whole fleets under faults."`
	Serve  serve   `cmd:"" default:"withargs" help:"Be the gateway (what the bare program does): ROUTER_CONFIG names its configuration, ROUTER_NAME and ROUTER_LISTEN go before what stands in it. SIGTERM ends it once all it has taken is answered, SIGHUP moves it to the bulletin that the file then names."`
}

// Main runs the command that args name and gives the exit status.
func Main(args []string, out, errs io.Writer) (status int) {
	var all commands
	parser, err := kong.New(&all, kong.Name("foldslip"), kong.Writers(out, errs),
		kong.Description("A lookup router for caches that fill from parents and an origin."),
		kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(out, (*io.Writer)(nil)), kong.Bind(&streams{out, errs}),
		kong.Exit(func(code int) { panic(exit(code)) }))
	if err != nil {
		fmt.Fprintln(errs, "foldslip:", err)
		return misuse
	}
	defer func() {
		if p := recover(); p != nil {
			code, ok := p.(exit)
			if !ok {
				panic(p)
			}
			status = int(code)
		}
	}()
	asked, err := parser.Parse(args)
	if err != nil {
		return tell(errs, usage("%v; see foldslip --help", err))
	}
	return tell(errs, asked.Run())
}

type exit int

type streams struct{ out, errs io.Writer }

// tell says an error in one line and gives the exit status that goes with it.
func tell(errs io.Writer, err error) int {
	if err == nil {
		return 0
	}
	if errors.As(err, new(Usage)) {
		fmt.Fprintln(errs, "foldslip:", strings.ReplaceAll(err.Error(), "\n", " "))
		return misuse
	}
	if !errors.As(err, new(quiet)) {
		fmt.Fprintln(errs, "foldslip:", err)
	}
	return failed
}

// quiet is an error that has been told already.
type quiet struct{ error }

// Run is the program.
func Run() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }
