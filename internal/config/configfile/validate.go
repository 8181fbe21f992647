package configfile

import (
	"errors"
	"fmt"
	"net/netip"
	"path"
	"strings"

	"foldslip/internal/config"
	"foldslip/internal/route"
	"foldslip/internal/route/pools"
)

const (
	maxSocketPathBytes = 100 // of a Unix socket

	minStoreBytes     = 64 << 10
	defaultStoreBytes = 8 << 20
	maxStoreBytes     = 16 << 20

	minStoreWrites     = 0.1 // a second
	defaultStoreWrites = 2
	maxStoreWrites     = 100

	minWeight     = 0.01
	defaultWeight = 1
	maxWeight     = 100
)

// invalid returns an error of a value. The file is added by the caller of validate.
func invalid(path, text, remedy string) error {
	return config.Error{Path: path, Text: text, Remedy: remedy}
}

// validate fills in defaults and returns an error for the first value that cannot be.
func validate(c *config.Config) error {
	if c.ExternalProcessor != nil {
		if err := validateExternalProcessor(c.ExternalProcessor); err != nil {
			return err
		}
	}
	if c.Routing != nil {
		if err := validateRouting(c.Routing, c.Fleet != nil); err != nil {
			return err
		}
	}
	if c.Fleet != nil {
		if err := validateFleet(c.Fleet); err != nil {
			return err
		}
	}
	if c.List != nil {
		return validateStore(c.List)
	}
	return nil
}

// intSetting is a whole number with its bounds. 0 stands for the default.
type intSetting struct {
	name                   string
	value                  *int64
	min, defaultValue, max int64
}

// validateNumbers fills in defaults and checks bounds, in order.
func validateNumbers(section string, numbers []intSetting) error {
	for _, n := range numbers {
		if *n.value == 0 {
			*n.value = n.defaultValue
		}
		if *n.value < n.min || *n.value > n.max {
			return invalid(section+"."+n.name, fmt.Sprintf("is %d", *n.value), fmt.Sprintf("expected %d to %d", n.min, n.max))
		}
	}
	return nil
}

func validateExternalProcessor(x *config.ExternalProcessor) error {
	if err := validateNumbers("external_processor", []intSetting{
		{"streams", &x.StreamsPerConnection, 1, 256, 100_000},
		{"streams_a_caller", &x.StreamsPerCaller, 1, 1024, 100_000},
		{"silent_ms", &x.SilenceTimeoutMS, 1, 30_000, 3_600_000},
		{"lookups", &x.Lookups, 1, 256, 100_000},
		{"lookups_a_caller", &x.LookupsPerCaller, 1, 128, 100_000},
		{"again_within_ms", &x.ReturnTimeoutMS, 1, 300, 60_000},
		{"remember_ms", &x.RememberMS, 1, 5000, 600_000},
	}); err != nil {
		return err
	}
	if err := validateListen(x); err != nil {
		return err
	}
	if x.Weight == 0 {
		x.Weight = defaultWeight
	}
	if x.Weight < minWeight || x.Weight > maxWeight {
		return invalid("external_processor.weight", fmt.Sprintf("is %g", x.Weight), "expected 0.01 to 100; direct clients have 1")
	}
	if x.Trace != nil {
		if err := validateTrace(x.Trace); err != nil {
			return err
		}
	}
	if x.MessagesPerSecond < 0 || x.BytesPerSecond < 0 {
		return invalid("external_processor.messages_a_second", "or bytes_a_second is below 0", "0 allows any number")
	}
	return validateTable(x.Table)
}

// validateListen checks where the entry point listens, and that only callers of this machine come without a certificate.
func validateListen(x *config.ExternalProcessor) error {
	const (
		name   = "external_processor.listen"
		remedy = "expected an address and a port, as 127.0.0.1:18200, or unix:/run/foldslip/door"
	)
	if socket, isUnix := strings.CutPrefix(x.Listen, "unix:"); isUnix {
		if !isSocketPath(socket) {
			return invalid(name, fmt.Sprintf("%q", x.Listen), remedy)
		}
	} else if addr, err := netip.ParseAddrPort(x.Listen); err != nil {
		return invalid(name, fmt.Sprintf("%q", x.Listen), remedy)
	} else if !addr.Addr().IsLoopback() && (x.TLS == nil || x.TLS.ClientCA == "") {
		return invalid(name, fmt.Sprintf("%s can be reached from other machines", x.Listen), "set tls with client_ca, or listen on loopback or a Unix socket")
	}
	if x.TLS == nil {
		return nil
	}
	for _, file := range []struct {
		name, path string
		isOptional bool
	}{{"cert", x.TLS.Cert, false}, {"key", x.TLS.Key, false}, {"client_ca", x.TLS.ClientCA, true}} {
		isOmitted := file.path == "" && file.isOptional
		if !path.IsAbs(file.path) && !isOmitted {
			return invalid("external_processor.tls."+file.name, fmt.Sprintf("%q", file.path), "name a file in PEM from the root")
		}
	}
	return nil
}

func isSocketPath(socket string) bool {
	return path.IsAbs(socket) && len(socket) <= maxSocketPathBytes
}

func validateTrace(t *config.Trace) error {
	if addr, err := netip.ParseAddrPort(t.Endpoint); err != nil || !addr.Addr().IsLoopback() {
		return invalid("external_processor.trace.endpoint", fmt.Sprintf("%q", t.Endpoint), "expected a collector on this machine, as 127.0.0.1:4317")
	}
	if t.SampleRatio < 0 || t.SampleRatio > 1 {
		return invalid("external_processor.trace.share", fmt.Sprintf("is %g", t.SampleRatio), "expected 0 to 1")
	}
	return nil
}

// validateTable checks the rules but their kinds, which the platform's settings name.
func validateTable(rules []config.LookupRule) error {
	var ruleErr route.RuleError
	if _, err := route.Compile(rules, nil); errors.As(err, &ruleErr) && ruleErr.Field != "kind" {
		return invalid(fmt.Sprintf("external_processor.table[%d].%s", ruleErr.Rule, ruleErr.Field), ruleErr.Text, ruleErr.Remedy)
	}
	return nil
}

// validateRouting checks routes and pools but their kinds, which the platform's settings name.
func validateRouting(r *config.Routing, hasFleet bool) error {
	if r.Folder != "" && !path.IsAbs(r.Folder) {
		return invalid("routing.folder", fmt.Sprintf("%q is relative", r.Folder), "name it from the root, as /var/lib/foldslip-routes")
	}
	if g := r.GuardLimits; g != nil && (g.MinLookups < 1 || g.Deviations < 1 || min(g.Satisfied, g.Rejected, g.Late, g.Fills) < 0) {
		return invalid("routing.guards", "a figure is out of bounds", "lookups and deviations from 1, the others from 0 (0: not looked at)")
	}
	if r.Socket != "" && !isSocketPath(r.Socket) {
		return invalid("routing.socket", fmt.Sprintf("%q", r.Socket), "name it from the root in 100 bytes, as /run/foldslip/operator")
	}
	table, problems := pools.Compile(r.RouteConfig, nil)
	if len(problems) > 0 && problems[0].IsError {
		return invalid("routing."+problems[0].Path, problems[0].Text, problems[0].Remedy)
	}
	if !hasFleet && table != nil && table.HasFleetLimits() {
		return invalid("routing", "a limit is the fleet's (fleet: true), and this gateway knows no fleet", "set fleet, see docs/fleet.md, or leave fleet: true out")
	}
	return nil
}

func validateStore(s *config.EndpointStore) error {
	if s.MaxBytes == 0 {
		s.MaxBytes = defaultStoreBytes
	}
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = defaultStoreWrites
	}
	switch {
	case s.Folder == "":
		return invalid("list.folder", "is missing", "name a folder of this gateway's own on a lasting disk")
	case !path.IsAbs(s.Folder):
		return invalid("list.folder", fmt.Sprintf("%q is relative", s.Folder), "name it from the root, as /var/lib/foldslip")
	case s.MaxBytes < minStoreBytes || s.MaxBytes > maxStoreBytes:
		return invalid("list.bytes", fmt.Sprintf("is %d", s.MaxBytes), "expected 65536 to 16777216; 10,000 caches take some 1,300,000")
	case s.WritesPerSecond < minStoreWrites || s.WritesPerSecond > maxStoreWrites:
		return invalid("list.writes_per_second", fmt.Sprintf("is %g", s.WritesPerSecond), "expected 0.1 to 100")
	}
	return nil
}
