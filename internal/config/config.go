// Package config is the operators' own file: settings of this program that the platform knows nothing of, as a Jsonnet
// template. Read evaluates and checks it and does no I/O but by the reader it is given. An empty path is no file: all of
// it is off, as on the platform. Nothing of the evaluator is kept once it has been read.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"path"
	"reflect"
	"slices"
	"strings"

	"github.com/google/go-jsonnet"

	"foldslip/internal/config/change"
	"foldslip/internal/route"
	"foldslip/internal/route/pools"
)

const (
	maxFileBytes  = 1 << 20
	maxImports    = 16
	maxStackDepth = 200
)

// Config are the operators' settings. What is absent is off or has the default that Read fills in.
type Config struct {
	List              *EndpointStore     `json:"list,omitempty"`
	ExternalProcessor *ExternalProcessor `json:"external_processor,omitempty"`
	Routing           *Routing           `json:"routing,omitempty"`
	Fleet             *Fleet             `json:"fleet,omitempty"`
}

// Routing are routes and pools, and where their changes are kept.
type Routing struct {
	Folder      string              `json:"folder,omitempty"` // of this gateway alone; none: changes end with the process
	GuardLimits *change.GuardLimits `json:"guards,omitempty"` // none: change.Usual
	Socket      string              `json:"socket,omitempty"` // where operators of this machine call; none: changes by this file only
	pools.Config
}

// ExternalProcessor are the settings of the door for other proxies.
type ExternalProcessor struct {
	Listen               string       `json:"listen"`            // address and port of its own, or unix:/path
	Trace                *Trace       `json:"trace,omitempty"`   // none: no lookup is traced
	TLS                  *TLS         `json:"tls,omitempty"`     // none: on this machine only
	StreamsPerConnection int64        `json:"streams"`           // of one connection of a caller
	StreamsPerCaller     int64        `json:"streams_a_caller"`  // on all its connections
	MessagesPerSecond    float64      `json:"messages_a_second"` // of one caller; 0: any number
	BytesPerSecond       float64      `json:"bytes_a_second"`    // of one caller's messages; 0: any number
	SilenceTimeoutMS     int64        `json:"silent_ms"`         // a stream that says nothing for so long ends
	Weight               float64      `json:"weight"`            // of a caller's part of the room, direct clients having 1
	Lookups              int64        `json:"lookups"`           // open at once
	LookupsPerCaller     int64        `json:"lookups_a_caller"`  // of these
	MaxRetryAfterMS      int64        `json:"again_within_ms"`   // a caller that is to ask again does so within
	RememberMS           int64        `json:"remember_ms"`       // an ended lookup's id is known for so long
	Table                []route.Rule `json:"table"`             // what makes a lookup
}

// Trace says where spans of lookups go, and how many.
type Trace struct {
	Endpoint    string  `json:"endpoint"` // of an OTLP collector on gRPC, on this machine
	SampleRatio float64 `json:"share"`    // of lookups whose callers bring no trace context
}

// TLS are the door's certificate and key, and whose certificates callers must show. Files are in PEM.
type TLS struct {
	Cert     string `json:"cert"`
	Key      string `json:"key"`
	ClientCA string `json:"client_ca,omitempty"` // none: callers are told apart by address only
}

// EndpointStore are the settings of the list kept on disk.
type EndpointStore struct {
	Folder          string  `json:"folder"`            // where it is kept, one folder a gateway
	MaxBytes        int64   `json:"bytes"`             // of each of the two generations on disk
	WritesPerSecond float64 `json:"writes_per_second"` // synced writes
}

// Error is what is wrong with a file: where, what, and what to do.
type Error struct {
	File   string `json:"file"`
	Path   string `json:"path,omitempty"` // of the setting, as list.bytes
	Text   string `json:"text"`
	Remedy string `json:"remedy,omitempty"`
}

func (f Error) Error() string {
	s := f.File
	if f.Path != "" {
		s += ": " + f.Path
	}
	s += ": " + f.Text
	if f.Remedy != "" {
		s += "; " + f.Remedy
	}
	return s
}

// Read evaluates the template in a file and checks what comes of it. Its errors are Faults. Imports are read by the same
// reader, relative to the file that names them.
func Read(file string, read func(path string) ([]byte, error)) (*Config, error) {
	var s Config
	if err := Evaluate(file, read, &s); err != nil {
		return nil, err
	}
	return &s, s.validate(file)
}

// Evaluate evaluates a template and decodes what it gives into a struct. A name that the struct does not have is a fault: a setting
// that is spelt wrong must not be off in silence.
func Evaluate(file string, read func(path string) ([]byte, error), into any) error {
	text, err := read(file)
	if err != nil {
		return Error{File: file, Text: err.Error(), Remedy: "name a file that can be read"}
	}
	if len(text) > maxFileBytes {
		return Error{File: file, Text: fmt.Sprintf("%d bytes", len(text)), Remedy: fmt.Sprintf("at most %d can be read", maxFileBytes)}
	}
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxStackDepth
	vm.Importer(&importer{read: read, contents: map[string]jsonnet.Contents{file: jsonnet.MakeContents(string(text))}})
	out, err := vm.EvaluateFile(file)
	if err != nil {
		return Error{File: file, Text: oneLine(err.Error()), Remedy: "mend the template there"}
	}
	return decode(file, []byte(out), into)
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

type importer struct {
	read     func(string) ([]byte, error)
	contents map[string]jsonnet.Contents
}

// Import reads a file that a template names.
func (i *importer) Import(from, name string) (jsonnet.Contents, string, error) {
	at := name
	if !path.IsAbs(name) && from != "" {
		at = path.Join(path.Dir(from), name)
	}
	if c, ok := i.contents[at]; ok {
		return c, at, nil
	}
	if len(i.contents) > maxImports {
		return jsonnet.Contents{}, "", fmt.Errorf("more than %d files are imported", maxImports)
	}
	text, err := i.read(at)
	if err != nil {
		return jsonnet.Contents{}, "", err
	}
	i.contents[at] = jsonnet.MakeContents(string(text))
	return i.contents[at], at, nil
}

// decode decodes what the template gave.
func decode(file string, text []byte, into any) error {
	var tree any
	if err := json.Unmarshal(text, &tree); err != nil {
		return Error{File: file, Text: err.Error()}
	}
	if err := checkNames(file, "", tree, reflect.TypeOf(into)); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(text))
	if err := d.Decode(into); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return Error{File: file, Path: wrong.Field, Text: "is " + wrong.Value, Remedy: "expected " + kindName(wrong.Type)}
		}
		return Error{File: file, Text: err.Error()}
	}
	return nil
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Struct, reflect.Pointer:
		return "an object"
	}
	return t.String()
}

// checkNames finds the first name that no setting has.
func checkNames(file, at string, tree any, t reflect.Type) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if rows, ok := tree.([]any); ok && t.Kind() == reflect.Slice {
		for i, row := range rows {
			if err := checkNames(file, fmt.Sprintf("%s[%d]", at, i), row, t.Elem()); err != nil {
				return err
			}
		}
		return nil
	}
	object, ok := tree.(map[string]any)
	if ok && t.Kind() == reflect.Map {
		for _, name := range slices.Sorted(maps.Keys(object)) {
			if err := checkNames(file, at+"."+name, object[name], t.Elem()); err != nil {
				return err
			}
		}
		return nil
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	if !ok {
		if tree == nil && at != "" {
			return nil
		}
		return Error{File: file, Path: at, Text: "is no object", Remedy: "expected { name: value, ... }"}
	}
	fields := map[string]reflect.Type{}
	var names []string
	for _, f := range reflect.VisibleFields(t) {
		if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name != "" {
			fields[name] = f.Type
			names = append(names, name)
		}
	}
	var asked []string
	for name := range object {
		asked = append(asked, name)
	}
	slices.Sort(asked)
	for _, name := range asked {
		its := strings.TrimPrefix(at+"."+name, ".")
		if fields[name] == nil {
			return Error{File: file, Path: its, Text: "no such setting", Remedy: "known here: " + strings.Join(names, ", ")}
		}
		if err := checkNames(file, its, object[name], fields[name]); err != nil {
			return err
		}
	}
	return nil
}

// validateListen checks where the door listens, and that only callers of this machine come without a certificate to show.
func (x *ExternalProcessor) validateListen(file string) error {
	name, remedy := "external_processor.listen", "expected an address and a port, as 127.0.0.1:18200, or unix:/run/foldslip/door"
	if socket, unix := strings.CutPrefix(x.Listen, "unix:"); unix {
		if !path.IsAbs(socket) || len(socket) > 100 {
			return Error{file, name, fmt.Sprintf("%q", x.Listen), remedy}
		}
	} else if at, err := netip.ParseAddrPort(x.Listen); err != nil {
		return Error{file, name, fmt.Sprintf("%q", x.Listen), remedy}
	} else if !at.Addr().IsLoopback() && (x.TLS == nil || x.TLS.ClientCA == "") {
		return Error{file, name, fmt.Sprintf("%s can be reached from other machines", x.Listen),
			"set tls with client_ca, or listen on loopback or a Unix socket"}
	}
	if t := x.TLS; t != nil {
		for _, f := range []struct{ name, path string }{{"cert", t.Cert}, {"key", t.Key}, {"client_ca", t.ClientCA}} {
			if !path.IsAbs(f.path) && (f.path != "" || f.name != "client_ca") {
				return Error{file, "external_processor.tls." + f.name, fmt.Sprintf("%q", f.path), "name a file in PEM from the root"}
			}
		}
	}
	return nil
}

// validate fills in defaults and tells the first value that cannot be.
func (s *Config) validate(file string) error {
	if x := s.ExternalProcessor; x != nil {
		for _, n := range []struct {
			name        string
			to          *int64
			usual, most int64
		}{{"streams", &x.StreamsPerConnection, 256, 100_000}, {"streams_a_caller", &x.StreamsPerCaller, 1024, 100_000}, {"silent_ms", &x.SilenceTimeoutMS, 30_000, 3_600_000}, {"lookups", &x.Lookups, 256, 100_000}, {"lookups_a_caller", &x.LookupsPerCaller, 128, 100_000},
			{"again_within_ms", &x.MaxRetryAfterMS, 300, 60_000}, {"remember_ms", &x.RememberMS, 5000, 600_000}} {
			if *n.to == 0 {
				*n.to = n.usual
			}
			if *n.to < 1 || *n.to > n.most {
				return Error{file, "external_processor." + n.name, fmt.Sprintf("is %d", *n.to), fmt.Sprintf("expected 1 to %d", n.most)}
			}
		}
		if err := x.validateListen(file); err != nil {
			return err
		}
		if x.Weight == 0 {
			x.Weight = 1
		}
		if x.Weight < 0.01 || x.Weight > 100 {
			return Error{file, "external_processor.weight", fmt.Sprintf("is %g", x.Weight), "expected 0.01 to 100; direct clients have 1"}
		}
		if t := x.Trace; t != nil {
			if at, err := netip.ParseAddrPort(t.Endpoint); err != nil || !at.Addr().IsLoopback() {
				return Error{file, "external_processor.trace.endpoint", fmt.Sprintf("%q", t.Endpoint), "expected a collector on this machine, as 127.0.0.1:4317"}
			}
			if t.SampleRatio < 0 || t.SampleRatio > 1 {
				return Error{file, "external_processor.trace.share", fmt.Sprintf("is %g", t.SampleRatio), "expected 0 to 1"}
			}
		}
		if x.MessagesPerSecond < 0 || x.BytesPerSecond < 0 {
			return Error{file, "external_processor.messages_a_second", "or bytes_a_second is below 0", "0 allows any number"}
		}
		var rule route.RuleError
		if _, err := route.Compile(x.Table, nil); errors.As(err, &rule) && rule.Field != "kind" { // kinds are the platform's to tell
			return Error{file, fmt.Sprintf("external_processor.table[%d].%s", rule.Rule, rule.Field), rule.Text, rule.Remedy}
		}
	}
	if r := s.Routing; r != nil {
		if r.Folder != "" && !path.IsAbs(r.Folder) {
			return Error{file, "routing.folder", fmt.Sprintf("%q is relative", r.Folder), "name it from the root, as /var/lib/foldslip-routes"}
		}
		if g := r.GuardLimits; g != nil && (g.MinLookups < 1 || g.Deviations < 1 || min(g.Satisfied, g.Rejected, g.Late, g.Fills) < 0) {
			return Error{file, "routing.guards", "a figure is out of bounds", "lookups and deviations from 1, the others from 0 (0: not looked at)"}
		}
		if r.Socket != "" && (!path.IsAbs(r.Socket) || len(r.Socket) > 100) {
			return Error{file, "routing.socket", fmt.Sprintf("%q", r.Socket), "name it from the root in 100 bytes, as /run/foldslip/operator"}
		}
		table, faults := pools.Compile(r.Config, nil)
		if len(faults) > 0 && faults[0].IsError { // kinds are the platform's to tell
			return Error{file, "routing." + faults[0].Path, faults[0].Text, faults[0].Remedy}
		}
		if s.Fleet == nil && table != nil && table.HasFleetLimits() {
			return Error{file, "routing", "a limit is the fleet's (fleet: true), and this gateway knows no fleet", "set fleet, see docs/fleet.md, or leave fleet: true out"}
		}
	}
	if s.Fleet != nil {
		if err := s.Fleet.validate(file); err != nil {
			return err
		}
	}
	if l := s.List; l != nil {
		if l.MaxBytes == 0 {
			l.MaxBytes = 8 << 20
		}
		if l.WritesPerSecond == 0 {
			l.WritesPerSecond = 2
		}
		switch {
		case l.Folder == "":
			return Error{file, "list.folder", "is missing", "name a folder of this gateway's own on a lasting disk"}
		case !path.IsAbs(l.Folder):
			return Error{file, "list.folder", fmt.Sprintf("%q is relative", l.Folder), "name it from the root, as /var/lib/foldslip"}
		case l.MaxBytes < 64<<10 || l.MaxBytes > 16<<20:
			return Error{file, "list.bytes", fmt.Sprintf("is %d", l.MaxBytes), "expected 65536 to 16777216; 10,000 caches take some 1,300,000"}
		case l.WritesPerSecond < 0.1 || l.WritesPerSecond > 100:
			return Error{file, "list.writes_per_second", fmt.Sprintf("is %g", l.WritesPerSecond), "expected 0.1 to 100"}
		}
	}
	return nil
}
