package configfile

import (
	"errors"
	"io/fs"
	"os"
	"strings"
	"testing"

	"foldslip/internal/config"
)

// files returns a ReadFile that serves the given contents by path.
func files(contents map[string]string) ReadFile {
	return func(path string) ([]byte, error) {
		if text, exists := contents[path]; exists {
			return []byte(text), nil
		}
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
}

// readText reads a configuration from the text of a file f.jsonnet.
func readText(text string) (*config.Config, error) {
	return Read("f.jsonnet", files(map[string]string{"f.jsonnet": text}))
}

// requireError checks that reading a text fails with a one-line config.Error that has the given path and contains want.
func requireError(t *testing.T, text, path, want string) {
	t.Helper()
	c, err := readText(text)
	var fileErr config.Error
	if !errors.As(err, &fileErr) || fileErr.Path != path || fileErr.File != "f.jsonnet" || !strings.Contains(err.Error(), want) ||
		strings.Contains(err.Error(), "\n") {
		t.Errorf("configuration %+v, error %v; want an error in one line for %q that contains %q", c, err, path, want)
	}
}

func TestRead(t *testing.T) {
	t.Run("a template with an import and defaults", func(t *testing.T) {
		c, err := Read("/etc/f.jsonnet", files(map[string]string{
			"/etc/f.jsonnet":            `local c = import 'lib/common.libsonnet'; { list: c.list + { folder: '/a' } }`,
			"/etc/lib/common.libsonnet": `{ list: { bytes: 65536 * 2 } }`}))
		if err != nil || c.List.Folder != "/a" || c.List.MaxBytes != 131072 || c.List.WritesPerSecond != 2 {
			t.Errorf("list %+v, error %v; want folder /a, 131072 bytes and 2 writes per second", c.List, err)
		}
	})
	t.Run("an absent section is off", func(t *testing.T) {
		if c, err := readText("{}"); err != nil || c.List != nil {
			t.Errorf("configuration %+v, error %v; want no list and no error", c, err)
		}
	})
	t.Run("the file under deploy is valid", func(t *testing.T) {
		if c, err := Read("../../../deploy/foldslip.jsonnet", os.ReadFile); err != nil || c.List == nil {
			t.Errorf("configuration %+v, error %v; want a list and no error", c, err)
		}
	})
	t.Run("a missing file", func(t *testing.T) {
		var fileErr config.Error
		if _, err := Read("gone", files(nil)); !errors.As(err, &fileErr) || fileErr.Remedy == "" {
			t.Errorf("error %v, want a config.Error with a remedy", err)
		}
	})
}

func TestErrorsNameTheSetting(t *testing.T) {
	for _, test := range []struct{ name, text, path, want string }{
		{"a misspelt name", `{ list: { foldr: '/a' } }`, "list.foldr", "folder, bytes"},
		{"a misspelt name at the top level", `{ lists: {} }`, "lists", "known here: list"},
		{"a string instead of a number", `{ list: { folder: '/a', bytes: 'many' } }`, "list.bytes", "a whole number"},
		{"an array instead of an object", `{ list: [1] }`, "list", "expected {"},
		{"no folder", `{ list: {} }`, "list.folder", "name a folder"},
		{"a relative folder", `{ list: { folder: 'a' } }`, "list.folder", "absolute path"},
		{"too few bytes", `{ list: { folder: '/a', bytes: 9 } }`, "list.bytes", "65536"},
		{"too many writes", `{ list: { folder: '/a', writes_per_second: 1e6 } }`, "list.writes_per_second", "0.1 to 100"},
		{"a syntax error", `{ list: `, "", "f.jsonnet:1:"},
		{"an error raised by the template", `error 'no'`, "", "no"},
		{"a missing import", `import 'gone.jsonnet'`, "", "gone.jsonnet"},
		{"infinite recursion", `local f(x) = f(x + 1) + 1; f(0)`, "", "stack"},
		{"a number instead of an object", `3`, "", "not an object"},
	} {
		t.Run(test.name, func(t *testing.T) { requireError(t, test.text, test.path, test.want) })
	}
}

func TestExternalProcessor(t *testing.T) {
	const valid = `{ external_processor: { listen: '127.0.0.1:18200', table: [{ path: '/m/{o}', kind: 'page', object: 'path:o', id: 'header:i' }] } }`
	c, err := readText(valid)
	if err != nil || c.ExternalProcessor.Lookups != 256 || len(c.ExternalProcessor.Table) != 1 {
		t.Fatalf("configuration %+v, error %v; want 256 lookups and a table of one rule", c, err)
	}
	for _, test := range []struct{ name, from, to, path string }{
		{"a misspelt name in the table", "id:", "ids:", "external_processor.table[0].ids"},
		{"an invalid rule", "path:o", "path:x", "external_processor.table[0].object"},
		{"an invalid address", "127.0.0.1:18200", "here", "external_processor.listen"},
		{"reachable from other machines without certificates", "127.0.0.1:18200", "10.0.0.4:18200", "external_processor.listen"},
		{"a relative socket path", "127.0.0.1:18200", "unix:door", "external_processor.listen"},
		{"a relative key path", "listen:", "tls: { cert: '/c', key: 'k' }, listen:", "external_processor.tls.key"},
		{"a weight above its bound", "listen:", "weight: 1000, listen:", "external_processor.weight"},
		{"a trace endpoint on another machine", "listen:", "trace: { endpoint: '10.0.0.1:4317', share: 1 }, listen:", "external_processor.trace.endpoint"},
		{"a count above its bound", "listen:", "lookups: 1e7, listen:", "external_processor.lookups"},
	} {
		t.Run(test.name, func(t *testing.T) { requireError(t, strings.Replace(valid, test.from, test.to, 1), test.path, "") })
	}
}

// requireResult checks that reading a text fails with an error that contains want, or succeeds if want is empty.
func requireResult(t *testing.T, text, want string) *config.Config {
	t.Helper()
	c, err := readText(text)
	if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
		t.Errorf("%s: error %v, want %q", text, err, want)
	}
	return c
}

func TestFleet(t *testing.T) {
	for text, want := range map[string]string{
		`{ fleet: { listen: '127.0.0.1:7946' } }`: "",
		`{ fleet: {} }`:                                                                                 "fleet.listen",
		`{ fleet: { listen: '0.0.0.0:7946' } }`:                                                         "fleet.listen",
		`{ fleet: { listen: '10.0.0.4:7946' } }`:                                                        "key_file",
		`{ fleet: { listen: '10.0.0.4:7946', key_file: '/k' } }`:                                        "",
		`{ fleet: { listen: '127.0.0.1:7946', advertise: '10.0.0.4:7946' } }`:                           "fleet.advertise",
		`{ fleet: { listen: '127.0.0.1:7946', seeds: ['gateway-1'] } }`:                                 "fleet.seeds[0]",
		`{ fleet: { listen: '127.0.0.1:7946', seeds: ['10.0.0.4:7946' for i in std.range(1, 4096)] } }`: "",
		`{ fleet: { listen: '127.0.0.1:7946', seeds: ['10.0.0.4:7946' for i in std.range(1, 4097)] } }`: "fleet.seeds: has 4097",
		`{ fleet: { listen: '127.0.0.1:7946', probe_timeout_ms: 1000 } }`:                               "fleet.probe_timeout_ms",
		`{ fleet: { listen: '127.0.0.1:7946', probe_ms: 5 } }`:                                          "fleet.probe_ms",
		`{ fleet: { listen: '127.0.0.1:7946', folder: 'here' } }`:                                       "fleet.folder",
		`{ fleet: { listen: '127.0.0.1:7946', probe: 5 } }`:                                             "fleet.probe: no such setting",
	} {
		requireResult(t, text, want)
	}
}

// TestBroadcast checks that invalid settings of the broadcast of purges are rejected with the setting, the problem and
// the remedy, and that valid ones are read unchanged.
func TestBroadcast(t *testing.T) {
	longest := strings.Repeat("x", config.MaxLocalityBytes)
	for text, want := range map[string]string{
		`broadcast: true`: "",
		`broadcast: true, region: 'north', zone: 'n-1', site: 'n-1-a'`:     "",
		`region: 'north', zone: 'n-1', site: 'n-1-a'`:                      "", // a locality without the broadcast of purges
		`broadcast: true, region: '` + longest + `', zone: 'z', site: 's'`: "",
		`purges: true, region: 'north', zone: 'n-1', site: 'n-1-a'`:        "",
		`broadcast: true, purges: true`:                                    `f.jsonnet: fleet.broadcast: is set together with fleet.purges; set only one: broadcast`,
		`region: 'north'`:                                                  `f.jsonnet: fleet.zone: is missing; name region, zone and site of this gateway, or none of them`,
		`zone: 'n-1', site: 'n-1-a'`:                                       `f.jsonnet: fleet.region: is missing; name region, zone and site`,
		`region: 'north', zone: 'n-1'`:                                     `f.jsonnet: fleet.site: is missing; name region, zone and site`,
		`region: '` + longest + `x', zone: 'z', site: 's'`:                 `f.jsonnet: fleet.region: has 49 bytes; at most 48`,
		`region: 'r', zone: '` + longest + `x', site: 's'`:                 `f.jsonnet: fleet.zone: has 49 bytes; at most 48`,
		`region: 'r', zone: 'z', site: '` + longest + `x'`:                 `f.jsonnet: fleet.site: has 49 bytes; at most 48`,
		`broadcast: 'yes'`:                                                 "broadcast",
	} {
		c := requireResult(t, `{ fleet: { listen: '127.0.0.1:7946', `+text+` } }`, want)
		if want == "" && c.Fleet.BroadcastsPurges != strings.Contains(text, "broadcast") {
			t.Errorf("%s: BroadcastsPurges is %v in %+v", text, c.Fleet.BroadcastsPurges, c.Fleet)
		}
	}
	if c := requireResult(t, `{ fleet: { listen: '127.0.0.1:7946' } }`, ""); c.Fleet.BroadcastsPurges || c.Fleet.Region+c.Fleet.Zone+c.Fleet.Site != "" {
		t.Errorf("the broadcast or a locality is set by default: %+v", c.Fleet)
	}
}
