package cli

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foldslip/internal/admin"
	"foldslip/internal/config"
	"foldslip/internal/env"
	"foldslip/internal/route/rollout"
	"foldslip/internal/store/endpoints"
)

// A change before a sale, from the plan to its undoing, as an operator makes it.
func TestRouteChangeByAnOperator(t *testing.T) {
	dir := t.TempDir()
	g := env.NewSystem(io.Discard, slog.LevelInfo)
	s, err := rollout.Open(g, nil, config.RouteConfig{Pools: map[string]config.Pool{"town": {Locations: []string{"town"}}},
		Routes: []config.Route{{Name: "all", Targets: []config.Target{{Pool: "town"}}}}}, []string{"segment"})
	if err != nil {
		t.Fatal(err)
	}
	s.UpdateEndpoints(endpoints.Update{Complete: true, Endpoints: []endpoints.Endpoint{{ID: "c1", Zone: "town", MachineType: "edge"}, {ID: "c2", Zone: "hill", MachineType: "edge"}}})
	path := filepath.Join(dir, "operator")
	o, err := admin.Open(g, path, admin.Services{Routes: s})
	if err != nil {
		t.Fatal(err)
	}
	life := env.NewLifetime(nil)
	ended := make(chan error)
	go func() { ended <- o.Run(life) }()
	t.Cleanup(func() { life.End(); <-ended })
	write := func(name, text string) string {
		at := filepath.Join(dir, name)
		if err := os.WriteFile(at, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return at
	}
	sale := write("sale.jsonnet", `{ routing: { pools: { town: { locations: ['town'] }, hill: { locations: ['hill'] } },
routes: [{ name: 'all', to: [{ pool: 'town' }] }, { name: 'videos', object: 'video-*', to: [{ pool: 'hill' }] }] } }`)
	load := write("load", `{"kind":0,"object":"video-1","bytes":1000}
{"kind":0,"object":"page","bytes":10}
`)
	gone := write("gone.jsonnet", `{ routing: { pools: { x: { names: ['c9'] } }, routes: [{ name: 'all', to: [{ pool: 'x' }] }] } }`)
	bad := write("bad.jsonnet", `{ routing: { pools: { x: { nams: ['c9'] } } } }`)
	for _, step := range []struct {
		args   string
		status int
		want   string
	}{
		{"config plan " + sale + " --load " + load, 0, "2 lookups for 2 objects, 1 objects move, 1 of them"},
		{"config plan " + gone, exitFailed, "c9 is not in the list"},
		{"config propose " + bad + " --author a --reason b", exitUsage, "routing.pools.x.nams: no such setting"},
		{"config propose " + gone + " --author ada --reason sale", exitFailed, "version 2 is undone"},
		{"config propose " + sale + " --author ada --reason sale", 0, "version 3: checked"},
		{"config propose " + sale + " --author bo --reason sale", exitFailed, "version 3 of ada is under way"},
		{"config stage 3 --share 2", exitFailed, "above 0 and below 1"},
		{"config stage 3 --share 0.1 --within 1m", 0, "staged for 0.1 of the objects, to go on within 1m"},
		{"config history", 0, "in force: 1, and 3 for 0.1"},
		{"config confirm 3", exitFailed, "expected one of [applied]"},
		{"config apply 3", 0, "applied"},
		{"config confirm 3", 0, "confirmed"},
		{"config diff 1 3", 0, "+      \"name\": \"videos\""},
		{"config back 1 --author bo --reason over", 0, "version 4: checked"},
		{"config undo 4 --why no", 0, "undone (no)"},
		{"config undo 4", exitFailed, "none is"},
		{"config history --json", 0, `"reason":"over","why":"no"`},
		{"config history --socket " + dir + "/none", exitFailed, "see whether the gateway runs"},
	} {
		var out, errs bytes.Buffer
		args := strings.Fields(step.args)
		if !strings.Contains(step.args, "--socket") {
			args = append(args, "--socket", path)
		}
		if status := Main(args, &out, &errs); status != step.status || !strings.Contains(out.String()+errs.String(), step.want) {
			t.Errorf("%s: status %d\n%s%s", step.args, status, out.String(), errs.String())
		}
	}
	t.Run("the socket is its owner's alone, and what is no call is told", func(t *testing.T) {
		if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
			t.Error(info, err)
		}
		for _, text := range []string{"nothing\n", `{"do":"dance"}` + "\n", strings.Repeat("x", 3<<20) + "\n"} {
			conn, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			go fmt.Fprint(conn, text)
			answer, _ := io.ReadAll(io.LimitReader(conn, 40))
			if !strings.Contains(string(answer), `"error":"`) {
				t.Errorf("%.20q: %q", text, answer)
			}
			conn.Close()
		}
		if _, err := admin.Open(g, path, admin.Services{Routes: s}); err == nil {
			t.Error("a socket in use is taken over")
		}
	})
}
