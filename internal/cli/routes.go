package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pmezard/go-difflib/difflib"

	"foldslip/internal/admin"
	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/route/pools"
)

// adminSocket is a gateway's socket for operators.
type adminSocket struct {
	Socket string        `env:"FOLDSLIP_OPERATOR" default:"/run/foldslip/operator" help:"The gateway's socket, routing.socket of its settings."`
	JSON   bool          `help:"Print JSON."`
	Wait   time.Duration `name:"wait" default:"10s" help:"For the answer."`
}

// call makes a call and tells what is wrong with it.
func (s adminSocket) call(c admin.Request) (admin.Response, error) {
	ctx, stop := context.WithTimeout(context.Background(), s.Wait)
	defer stop()
	a, err := admin.Send(ctx, s.Socket, c)
	if err != nil {
		return a, fmt.Errorf("%s: %w; see whether the gateway runs and routing.socket names it", s.Socket, err)
	}
	if a.Error != "" {
		return a, fmt.Errorf("%s; %s", a.Error, a.Remedy)
	}
	return a, nil
}

// printStep makes a call that is a step of a change, and prints it.
func (s adminSocket) printStep(to *streams, c admin.Request) error {
	a, err := s.call(c)
	if err != nil {
		return err
	}
	if s.JSON {
		json.NewEncoder(to.out).Encode(a.Step)
	} else {
		fmt.Fprintf(to.out, "version %d: %s", a.Step.Version, a.Step.Stage)
		if a.Step.Share > 0 {
			fmt.Fprintf(to.out, " for %.3g of the objects", a.Step.Share)
		}
		if a.Step.TimeoutMS > 0 {
			fmt.Fprintf(to.out, ", to go on within %v", time.Duration(a.Step.TimeoutMS)*time.Millisecond)
		}
		if a.Step.Reason != "" {
			fmt.Fprintf(to.out, " (%s)", a.Step.Reason)
		}
		fmt.Fprintln(to.out)
		for _, f := range a.Step.Findings {
			word := "remark"
			if f.IsError {
				word = "error"
			}
			fmt.Fprintf(to.out, "  %s: %s: %s; %s\n", word, f.Path, f.Text, f.Remedy)
		}
	}
	if a.Step.Stage == change.RolledBack && c.Command != "undo" {
		return fmt.Errorf("version %d is undone: %s", a.Step.Version, a.Step.Reason)
	}
	return nil
}

// routes reads the routing of a file of the operators' settings.
func (f configFile) routes(to *streams) (*config.RouteConfig, error) {
	s, err := f.read(to)
	if err != nil {
		return nil, err
	}
	if s.Routing == nil {
		return nil, usageErrorf("%s: routing is not there; see docs/configuration.md", f.File)
	}
	return &s.Routing.RouteConfig, nil
}

type configPlan struct {
	adminSocket
	File string `arg:"" help:"Jsonnet template of the settings with the routing to come."`
	Load string `help:"A captured load: a line of JSON a lookup, {\"kind\":0,\"group\":3,\"object\":\"7f3a\",\"bytes\":42000}."`
}

const maxLoadLookups = 20_000 // lookups of a load that one call takes

func (p *configPlan) Run(to *streams) error {
	c, err := configFile{File: p.File}.routes(to)
	if err != nil {
		return err
	}
	call := admin.Request{Command: "plan", Config: c}
	if p.Load != "" {
		text, err := os.ReadFile(p.Load)
		if err != nil {
			return usageErrorf("--load: %v", err)
		}
		in := bufio.NewScanner(bytes.NewReader(text))
		for n := 1; in.Scan(); n++ {
			var l pools.LoadSample
			if err := json.Unmarshal(in.Bytes(), &l); err != nil {
				return usageErrorf("--load %s:%d: %v", p.Load, n, err)
			}
			if call.Load = append(call.Load, l); len(call.Load) > maxLoadLookups {
				return usageErrorf("--load %s: more than %d lookups; give a sample", p.Load, maxLoadLookups)
			}
		}
	}
	a, err := p.call(call)
	if err != nil {
		return err
	}
	if p.JSON {
		return json.NewEncoder(to.out).Encode(a)
	}
	bad := 0
	for _, f := range a.Problems {
		word := "remark"
		if f.IsError {
			word, bad = "error", bad+1
		}
		fmt.Fprintf(to.out, "%s: %s: %s; %s\n", word, f.Path, f.Text, f.Remedy)
	}
	m := a.Impact
	fmt.Fprintf(to.out, "of %d lookups for %d objects, %d objects move, %d of them to caches that have none of them; %.0f of %.0f bytes\n", m.Lookups, m.Objects, m.MovedObjects, m.ColdObjects,
		m.MovedBytes, m.Bytes)
	if bad > 0 {
		return fmt.Errorf("%d errors: it cannot be applied", bad)
	}
	return nil
}

type configPropose struct {
	adminSocket
	File   string `arg:"" help:"Jsonnet template of the settings with the routing to come."`
	Parent uint64 `help:"Version that it is a change of; 0: the one in force."`
	Author string `required:"" help:"Who."`
	Reason string `required:"" help:"Why."`
}

func (p *configPropose) Run(to *streams) error {
	c, err := configFile{File: p.File}.routes(to)
	if err != nil {
		return err
	}
	return p.printStep(to, admin.Request{Command: "propose", Parent: p.Parent, Author: p.Author, Reason: p.Reason, Config: c})
}

type configStage struct {
	adminSocket
	Version uint64        `name:"no" arg:"" help:"Version."`
	Share   float64       `required:"" help:"Part of the objects, above 0 and below 1."`
	Timeout time.Duration `name:"within" default:"10m" help:"It is undone if it has not gone on by then."`
}

func (p *configStage) Run(to *streams) error {
	return p.printStep(to, admin.Request{Command: "stage", Version: p.Version, Share: p.Share, TimeoutMS: p.Timeout.Milliseconds()})
}

type configApply struct {
	adminSocket
	Version uint64        `name:"no" arg:"" help:"Version."`
	Timeout time.Duration `name:"within" default:"10m" help:"It is undone if it has not been confirmed by then."`
}

func (p *configApply) Run(to *streams) error {
	return p.printStep(to, admin.Request{Command: "apply", Version: p.Version, TimeoutMS: p.Timeout.Milliseconds()})
}

type configConfirm struct {
	adminSocket
	Version uint64 `name:"no" arg:"" help:"Version."`
}

func (p *configConfirm) Run(to *streams) error {
	return p.printStep(to, admin.Request{Command: "confirm", Version: p.Version})
}

type configRollBack struct {
	adminSocket
	Version uint64 `name:"no" arg:"" help:"Version."`
	Reason  string `name:"why" default:"by hand" help:"Why."`
}

func (p *configRollBack) Run(to *streams) error {
	return p.printStep(to, admin.Request{Command: "undo", Version: p.Version, Reason: p.Reason})
}

type configProposeEarlier struct {
	adminSocket
	Version uint64 `name:"no" arg:"" help:"Version whose routes are proposed again."`
	Author  string `required:"" help:"Who."`
	Reason  string `required:"" help:"Why."`
}

func (p *configProposeEarlier) Run(to *streams) error {
	return p.printStep(to, admin.Request{Command: "back", Version: p.Version, Author: p.Author, Reason: p.Reason})
}

type configHistory struct{ adminSocket }

func (p *configHistory) Run(to *streams) error {
	a, err := p.call(admin.Request{Command: "history"})
	if err != nil {
		return err
	}
	if p.JSON {
		return json.NewEncoder(to.out).Encode(a)
	}
	t := tabwriter.NewWriter(to.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "version\tof\tstage\tauthor\treason\t")
	for _, e := range a.History {
		reason := e.Reason
		if e.RollbackReason != "" {
			reason += " (undone: " + e.RollbackReason + ")"
		}
		fmt.Fprintf(t, "%d\t%d\t%s\t%s\t%s\t\n", e.Version, e.Parent, e.Stage, e.Author, reason)
	}
	t.Flush()
	if a.Active.Next != 0 {
		fmt.Fprintf(to.out, "in force: %d, and %d for %.3g of the objects\n", a.Active.Base, a.Active.Next, a.Active.Share)
	} else {
		fmt.Fprintf(to.out, "in force: %d\n", a.Active.Base)
	}
	return nil
}

type configDiff struct {
	adminSocket
	From uint64 `arg:"" help:"Version."`
	To   uint64 `arg:"" help:"Version."`
}

func (p *configDiff) Run(to *streams) error {
	var lines [2][]string
	for i, no := range []uint64{p.From, p.To} {
		a, err := p.call(admin.Request{Command: "text", Version: no})
		if err != nil {
			return err
		}
		var b bytes.Buffer
		if err := json.Indent(&b, a.Text, "", "  "); err != nil {
			return err
		}
		lines[i] = difflib.SplitLines(b.String())
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{A: lines[0], B: lines[1], FromFile: fmt.Sprint("version ", p.From), ToFile: fmt.Sprint("version ", p.To), Context: 3})
	if err != nil {
		return err
	}
	if strings.TrimSpace(text) == "" {
		text = "no difference\n"
	}
	_, err = fmt.Fprint(to.out, text)
	return err
}
