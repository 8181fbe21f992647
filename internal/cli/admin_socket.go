package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"foldslip/internal/admin"
	"foldslip/internal/cli/program"
	"foldslip/internal/config/change"
)

// adminSocket has the flags of commands that send requests to a gateway's admin socket.
type adminSocket struct {
	Socket string        `env:"FOLDSLIP_OPERATOR" default:"/run/foldslip/operator" help:"The gateway's admin socket, routing.socket in its settings."`
	JSON   bool          `help:"Print JSON."`
	Wait   time.Duration `name:"wait" default:"10s" help:"Time limit for connecting to the socket."`
}

// call sends a request and returns the response. If the response has an error, call returns that error too.
func (s adminSocket) call(request admin.Request) (admin.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Wait)
	defer cancel()
	response, err := admin.Send(ctx, s.Socket, request)
	if err != nil {
		return response, fmt.Errorf("%s: %w; see whether the gateway runs and routing.socket names it", s.Socket, err)
	}
	if response.Error != "" {
		return response, program.Failedf("%s; %s", response.Error, response.Remedy)
	}
	return response, nil
}

// callAndPrintStep sends a request for a step of a route change and prints the step. It fails if the step rolled the
// change back and the request did not ask for that.
func (s adminSocket) callAndPrintStep(streams *program.Streams, request admin.Request) error {
	response, err := s.call(request)
	if err != nil {
		return err
	}
	step := response.Step
	if s.JSON {
		printJSON(streams, step)
	} else {
		printStep(streams.Out, step)
	}
	if step.Stage == change.RolledBack && request.Command != "undo" {
		return program.Failedf("version %d was rolled back: %s", step.Version, step.Reason)
	}
	return nil
}

func printStep(out io.Writer, step *change.Step) {
	fmt.Fprintf(out, "version %d: %s", step.Version, step.Stage)
	if step.Share > 0 {
		fmt.Fprintf(out, " for %.3g of the objects", step.Share)
	}
	if step.TimeoutMS > 0 {
		fmt.Fprintf(out, ", to go on within %v", time.Duration(step.TimeoutMS)*time.Millisecond)
	}
	if step.Reason != "" {
		fmt.Fprintf(out, " (%s)", step.Reason)
	}
	fmt.Fprintln(out)
	for _, finding := range step.Findings {
		fmt.Fprintf(out, "  %s: %s: %s; %s\n", severity(finding.IsError), finding.Path, finding.Text, finding.Remedy)
	}
}

// severity returns the name of a finding's severity. An error prevents the change, a remark does not.
func severity(isError bool) string {
	if isError {
		return "error"
	}
	return "remark"
}
