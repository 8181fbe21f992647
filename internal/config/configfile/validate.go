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
	maxSocketPathBytes = 100 // of the path of a Unix socket

	minStoreBytes     = 64 << 10
	defaultStoreBytes = 8 << 20
	maxStoreBytes     = 16 << 20

	minStoreWrites     = 0.1 // writes per second
	defaultStoreWrites = 2
	maxStoreWrites     = 100

	minWeight     = 0.01
	defaultWeight = 1
	maxWeight     = 100
)

// invalid returns a config.Error for an invalid value. Read adds the file.
func invalid(path, text, remedy string) error {
	return config.Error{Path: path, Text: text, Remedy: remedy}
}

// validate fills in defaults and returns an error for the first invalid value.
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

// intSetting is an integer setting with its bounds and its default. The value 0 is replaced by the default.
type intSetting struct {
	name                   string
	value                  *int64
	min, defaultValue, max int64
}

// validateNumbers fills in the defaults of integer settings and returns an error for the first one out of bounds.
func validateNumbers(section string, numbers []intSetting) error {
	for _, n := range numbers {
		if *n.value == 0 {
			*n.value = n.defaultValue
		}
		if *n.value < n.min || *n.value > n.max {
			return invalid(section+"."+n.name, fmt.Sprintf("is %d", *n.value),
				fmt.Sprintf("expected %d to %d", n.min, n.max))
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
		return invalid("external_processor.weight", fmt.Sprintf("is %g", x.Weight),
			"expected 0.01 to 100; direct clients have a weight of 1")
	}
	if x.Trace != nil {
		if err := validateTrace(x.Trace); err != nil {
			return err
		}
	}
	if x.MessagesPerSecond < 0 || x.BytesPerSecond < 0 {
		return invalid("external_processor.messages_a_second", "this rate or bytes_a_second is negative",
			"expected 0 or more; 0 means no limit")
	}
	return validateTable(x.Table)
}

// validateListen checks the listen address of the entry point and its TLS files. A listener that other machines can
// reach must require client certificates.
func validateListen(x *config.ExternalProcessor) error {
	const (
		name   = "external_processor.listen"
		remedy = "expected an IP address and a port, such as 127.0.0.1:18200, or a Unix socket, such as unix:/run/foldslip/door"
	)
	if socket, isUnix := strings.CutPrefix(x.Listen, "unix:"); isUnix {
		if !isSocketPath(socket) {
			return invalid(name, fmt.Sprintf("is %q", x.Listen), remedy)
		}
	} else if addr, err := netip.ParseAddrPort(x.Listen); err != nil {
		return invalid(name, fmt.Sprintf("is %q", x.Listen), remedy)
	} else if !addr.Addr().IsLoopback() && (x.TLS == nil || x.TLS.ClientCA == "") {
		return invalid(name, fmt.Sprintf("%s can be reached from other machines", x.Listen),
			"set tls with client_ca, or listen on a loopback address or a Unix socket")
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
			return invalid("external_processor.tls."+file.name, fmt.Sprintf("is %q", file.path),
				"expected the absolute path of a PEM file")
		}
	}
	return nil
}

func isSocketPath(socket string) bool {
	return path.IsAbs(socket) && len(socket) <= maxSocketPathBytes
}

func validateTrace(t *config.Trace) error {
	if addr, err := netip.ParseAddrPort(t.Endpoint); err != nil || !addr.Addr().IsLoopback() {
		return invalid("external_processor.trace.endpoint", fmt.Sprintf("is %q", t.Endpoint),
			"expected the loopback address and the port of a collector, such as 127.0.0.1:4317")
	}
	if t.SampleRatio < 0 || t.SampleRatio > 1 {
		return invalid("external_processor.trace.share", fmt.Sprintf("is %g", t.SampleRatio), "expected 0 to 1")
	}
	return nil
}

// validateTable checks the lookup rules. It does not check their object kinds, which only the platform's settings
// define.
func validateTable(rules []config.LookupRule) error {
	var ruleErr route.RuleError
	if _, err := route.Compile(rules, nil); errors.As(err, &ruleErr) && ruleErr.Field != "kind" {
		return invalid(fmt.Sprintf("external_processor.table[%d].%s", ruleErr.Rule, ruleErr.Field), ruleErr.Text, ruleErr.Remedy)
	}
	return nil
}

// validateRouting checks routes and pools. It does not check their object kinds, which only the platform's settings
// define.
func validateRouting(r *config.Routing, hasFleet bool) error {
	if r.Folder != "" && !path.IsAbs(r.Folder) {
		return invalid("routing.folder", fmt.Sprintf("%q is a relative path", r.Folder),
			"expected an absolute path, such as /var/lib/foldslip-routes")
	}
	if g := r.GuardLimits; g != nil && (g.MinLookups < 1 || g.Deviations < 1 || min(g.Satisfied, g.Rejected, g.Late, g.Fills) < 0) {
		return invalid("routing.guards", "a value is out of bounds",
			"expected lookups and deviations of at least 1, and the others of at least 0; 0 turns a check off")
	}
	if r.Socket != "" && !isSocketPath(r.Socket) {
		return invalid("routing.socket", fmt.Sprintf("is %q", r.Socket),
			"expected an absolute path of at most 100 bytes, such as /run/foldslip/operator")
	}
	table, problems := pools.Compile(r.RouteConfig, nil)
	if len(problems) > 0 && problems[0].IsError {
		return invalid("routing."+problems[0].Path, problems[0].Text, problems[0].Remedy)
	}
	if !hasFleet && table != nil && table.HasFleetLimits() {
		return invalid("routing", "a limit has fleet: true, but the fleet section is missing",
			"add the fleet section (see docs/fleet.md), or remove fleet: true")
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
		return invalid("list.folder", "is missing", "name a folder on a persistent disk, not shared with another gateway")
	case !path.IsAbs(s.Folder):
		return invalid("list.folder", fmt.Sprintf("%q is a relative path", s.Folder),
			"expected an absolute path, such as /var/lib/foldslip")
	case s.MaxBytes < minStoreBytes || s.MaxBytes > maxStoreBytes:
		return invalid("list.bytes", fmt.Sprintf("is %d", s.MaxBytes),
			"expected 65536 to 16777216; a list of 10,000 caches takes about 1,300,000")
	case s.WritesPerSecond < minStoreWrites || s.WritesPerSecond > maxStoreWrites:
		return invalid("list.writes_per_second", fmt.Sprintf("is %g", s.WritesPerSecond), "expected 0.1 to 100")
	}
	return nil
}
