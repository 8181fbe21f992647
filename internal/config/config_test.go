package config

import (
	"errors"
	"io/fs"
	"os"
	"strings"
	"testing"
)

func reader(files map[string]string) func(string) ([]byte, error) {
	return func(path string) ([]byte, error) {
		if text, ok := files[path]; ok {
			return []byte(text), nil
		}
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
}

func TestRead(t *testing.T) {
	t.Run("a template with an import, and defaults", func(t *testing.T) {
		s, err := Read("/etc/f.jsonnet", reader(map[string]string{"/etc/f.jsonnet": `local c = import 'lib/common.libsonnet'; { list: c.list + { folder: '/a' } }`,
			"/etc/lib/common.libsonnet": `{ list: { bytes: 65536 * 2 } }`}))
		if err != nil || s.List.Folder != "/a" || s.List.MaxBytes != 131072 || s.List.WritesPerSecond != 2 {
			t.Errorf("%+v, %v", s.List, err)
		}
	})
	t.Run("nothing set is all off", func(t *testing.T) {
		if s, err := Read("f", reader(map[string]string{"f": "{}"})); err != nil || s.List != nil {
			t.Errorf("%+v, %v", s, err)
		}
	})
	for _, story := range []struct{ name, text, path, want string }{
		{"a name spelt wrong", `{ list: { foldr: '/a' } }`, "list.foldr", "folder, bytes"},
		{"a name spelt wrong at the top", `{ lists: {} }`, "lists", "known here: list"},
		{"a word for a number", `{ list: { folder: '/a', bytes: 'many' } }`, "list.bytes", "a whole number"},
		{"a list for an object", `{ list: [1] }`, "list", "expected {"},
		{"no folder", `{ list: {} }`, "list.folder", "name a folder"},
		{"a relative folder", `{ list: { folder: 'a' } }`, "list.folder", "from the root"},
		{"too few bytes", `{ list: { folder: '/a', bytes: 9 } }`, "list.bytes", "65536"},
		{"too many writes", `{ list: { folder: '/a', writes_per_second: 1e6 } }`, "list.writes_per_second", "0.1 to 100"},
		{"no template", `{ list: `, "", "f:1:"},
		{"an error of its own", `error 'no'`, "", "no"},
		{"an import that is missing", `import 'gone.jsonnet'`, "", "gone.jsonnet"},
		{"recursion without end", `local f(x) = f(x + 1) + 1; f(0)`, "", "stack"},
		{"no object", `3`, "", "no object"},
	} {
		t.Run(story.name, func(t *testing.T) {
			s, err := Read("f", reader(map[string]string{"f": story.text}))
			var fault Error
			if !errors.As(err, &fault) || fault.Path != story.path || fault.File != "f" || !strings.Contains(err.Error(), story.want) ||
				strings.Contains(err.Error(), "\n") {
				t.Errorf("%+v, %v", s, err)
			}
		})
	}
	t.Run("a file that is not there", func(t *testing.T) {
		var fault Error
		if _, err := Read("gone", reader(nil)); !errors.As(err, &fault) || fault.Remedy == "" {
			t.Error(err)
		}
	})
}

func TestTheDeployFileIsValid(t *testing.T) {
	if s, err := Read("../../deploy/foldslip.jsonnet", os.ReadFile); err != nil || s.List == nil {
		t.Errorf("%+v, %v", s, err)
	}
}

func TestExternalProcessor(t *testing.T) {
	const good = `{ external_processor: { listen: '127.0.0.1:18200', table: [{ path: '/m/{o}', kind: 'page', object: 'path:o', id: 'header:i' }] } }`
	s, err := Read("f", reader(map[string]string{"f": good}))
	if err != nil || s.ExternalProcessor.Lookups != 256 || len(s.ExternalProcessor.Table) != 1 {
		t.Fatalf("%+v, %v", s, err)
	}
	for _, story := range []struct{ name, from, to, path string }{
		{"a name in the table spelt wrong", "id:", "ids:", "external_processor.table[0].ids"},
		{"a rule that cannot be used", "path:o", "path:x", "external_processor.table[0].object"},
		{"no address", "127.0.0.1:18200", "here", "external_processor.listen"},
		{"open to other machines without certificates", "127.0.0.1:18200", "10.0.0.4:18200", "external_processor.listen"},
		{"a socket that is no path from the root", "127.0.0.1:18200", "unix:door", "external_processor.listen"},
		{"a key that is no path from the root", "listen:", "tls: { cert: '/c', key: 'k' }, listen:", "external_processor.tls.key"},
		{"a weight past its bound", "listen:", "weight: 1000, listen:", "external_processor.weight"},
		{"spans to another machine", "listen:", "trace: { endpoint: '10.0.0.1:4317', share: 1 }, listen:", "external_processor.trace.endpoint"},
		{"a count past its bound", "listen:", "lookups: 1e7, listen:", "external_processor.lookups"},
	} {
		t.Run(story.name, func(t *testing.T) {
			var fault Error
			if _, err := Read("f", reader(map[string]string{"f": strings.Replace(good, story.from, story.to, 1)})); !errors.As(err, &fault) || fault.Path != story.path {
				t.Error(err)
			}
		})
	}
}

func TestFleetErrorsNameTheSetting(t *testing.T) {
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
		_, err := Read("f.jsonnet", func(string) ([]byte, error) { return []byte(text), nil })
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// What cannot be of the broadcast of purges is refused with what is wrong, where, and what to do; what can be is taken as it stands.
func TestBroadcastIsValidated(t *testing.T) {
	long := strings.Repeat("x", maxLocalityBytes)
	for text, want := range map[string]string{
		`broadcast: true`: "",
		`broadcast: true, region: 'north', zone: 'n-1', site: 'n-1-a'`:  "",
		`region: 'north', zone: 'n-1', site: 'n-1-a'`:                   "", // places come before the broadcast
		`broadcast: true, region: '` + long + `', zone: 'z', site: 's'`: "",
		`purges: true, region: 'north', zone: 'n-1', site: 'n-1-a'`:     "",
		`broadcast: true, purges: true`:                                 `f.jsonnet: fleet.broadcast: is set beside fleet.purges; set one: broadcast`,
		`region: 'north'`:                                               `f.jsonnet: fleet.zone: is missing; name region, zone and site of this gateway, or none of them`,
		`zone: 'n-1', site: 'n-1-a'`:                                    `f.jsonnet: fleet.region: is missing; name region, zone and site`,
		`region: 'north', zone: 'n-1'`:                                  `f.jsonnet: fleet.site: is missing; name region, zone and site`,
		`region: '` + long + `x', zone: 'z', site: 's'`:                 `f.jsonnet: fleet.region: has 49 bytes; at most 48`,
		`region: 'r', zone: '` + long + `x', site: 's'`:                 `f.jsonnet: fleet.zone: has 49 bytes; at most 48`,
		`region: 'r', zone: 'z', site: '` + long + `x'`:                 `f.jsonnet: fleet.site: has 49 bytes; at most 48`,
		`broadcast: 'yes'`:                                              "broadcast",
	} {
		all := `{ fleet: { listen: '127.0.0.1:7946', ` + text + ` } }`
		s, err := Read("f.jsonnet", func(string) ([]byte, error) { return []byte(all), nil })
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: %v", text, err)
		} else if err == nil && s.Fleet.BroadcastsPurges != strings.Contains(text, "broadcast") {
			t.Errorf("%s: %+v", text, s.Fleet)
		}
	}
	if s, err := Read("f.jsonnet", func(string) ([]byte, error) { return []byte(`{ fleet: { listen: '127.0.0.1:7946' } }`), nil }); err != nil ||
		s.Fleet.BroadcastsPurges || s.Fleet.Region+s.Fleet.Zone+s.Fleet.Site != "" {
		t.Errorf("off where nothing is set: %+v %v", s, err)
	}
}
