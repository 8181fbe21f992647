package cli

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"foldslip/internal/admin"
	"foldslip/internal/cli/program"
	"foldslip/internal/config"
	"foldslip/internal/env"
	"foldslip/internal/route/rollout"
	"foldslip/internal/store/endpoints"
)

// openAdminSocket serves the admin API of a gateway with two caches and a route to one of them until the test ends. It
// returns the path of the socket and a function that tries to open the same socket again.
func openAdminSocket(t *testing.T) (path string, openAgain func() error) {
	t.Helper()
	environment := env.NewSystem(io.Discard, slog.LevelInfo)
	routes, err := rollout.Open(environment, nil, config.RouteConfig{Pools: map[string]config.Pool{"town": {Locations: []string{"town"}}},
		Routes: []config.Route{{Name: "all", Targets: []config.Target{{Pool: "town"}}}}}, []string{"segment"})
	if err != nil {
		t.Fatal(err)
	}
	routes.UpdateEndpoints(endpoints.Update{Complete: true, Endpoints: []endpoints.Endpoint{
		{ID: "c1", Zone: "town", MachineType: "edge"}, {ID: "c2", Zone: "hill", MachineType: "edge"}}})
	path = filepath.Join(t.TempDir(), "operator")
	services := admin.Services{Routes: routes}
	server, err := admin.Open(environment, path, services)
	if err != nil {
		t.Fatal(err)
	}
	lifetime := env.NewLifetime(nil)
	ended := make(chan error)
	go func() { ended <- server.Run(lifetime) }()
	t.Cleanup(func() {
		lifetime.End()
		<-ended
	})
	return path, func() error {
		_, err := admin.Open(environment, path, services)
		return err
	}
}

// TestRouteChangeByAnOperator runs the commands of route changes from a plan to a rollback. Each step begins in the
// state that the step before it left.
func TestRouteChangeByAnOperator(t *testing.T) {
	dir := t.TempDir()
	socket, _ := openAdminSocket(t)
	sale := writeFile(t, dir, "sale.jsonnet", `{ routing: { pools: { town: { locations: ['town'] }, hill: { locations: ['hill'] } },
routes: [{ name: 'all', to: [{ pool: 'town' }] }, { name: 'videos', object: 'video-*', to: [{ pool: 'hill' }] }] } }`)
	load := writeFile(t, dir, "load", `{"kind":0,"object":"video-1","bytes":1000}
{"kind":0,"object":"page","bytes":10}
`)
	removed := writeFile(t, dir, "gone.jsonnet", `{ routing: { pools: { x: { names: ['c9'] } }, routes: [{ name: 'all', to: [{ pool: 'x' }] }] } }`)
	invalid := writeFile(t, dir, "bad.jsonnet", `{ routing: { pools: { x: { nams: ['c9'] } } } }`)
	for _, step := range []struct {
		args   string
		status int
		want   string
	}{
		{"config plan " + sale + " --load " + load, program.ExitOK, "2 lookups for 2 objects, 1 objects move, 1 of them"},
		{"config plan " + removed, program.ExitFailed, "c9 is not in the list"},
		{"config propose " + invalid + " --author a --reason b", program.ExitUsage, "routing.pools.x.nams: no such setting"},
		{"config propose " + removed + " --author ada --reason sale", program.ExitFailed, "version 2 was rolled back"},
		{"config propose " + sale + " --author ada --reason sale", program.ExitOK, "version 3: checked"},
		{"config propose " + sale + " --author bo --reason sale", program.ExitFailed, "version 3 of ada is under way"},
		{"config stage 3 --share 2", program.ExitFailed, "above 0 and below 1"},
		{"config stage 3 --share 0.1 --within 1m", program.ExitOK, "staged for 0.1 of the objects, to go on within 1m"},
		{"config history", program.ExitOK, "in force: 1, and 3 for 0.1"},
		{"config confirm 3", program.ExitFailed, "expected one of [applied]"},
		{"config apply 3", program.ExitOK, "applied"},
		{"config confirm 3", program.ExitOK, "confirmed"},
		{"config diff 1 3", program.ExitOK, "+      \"name\": \"videos\""},
		{"config back 1 --author bo --reason over", program.ExitOK, "version 4: checked"},
		{"config undo 4 --why no", program.ExitOK, "undone (no)"},
		{"config undo 4", program.ExitFailed, "none is"},
		{"config history --json", program.ExitOK, `"reason":"over","why":"no"`},
		{"config history --socket " + dir + "/none", program.ExitFailed, "see whether the gateway runs"},
	} {
		args := strings.Fields(step.args)
		if !slices.Contains(args, "--socket") {
			args = append(args, "--socket", socket)
		}
		status, out, messages := runCLI(args...)
		if status != step.status || !strings.Contains(out+messages, step.want) {
			t.Errorf("%s: status %d, output and messages:\n%s%s", step.args, status, out, messages)
		}
	}
}

// TestAdminSocketIsGuarded checks that the socket's mode admits only its owner, that invalid requests are answered with
// an error, and that a second server cannot listen on the same socket.
func TestAdminSocketIsGuarded(t *testing.T) {
	socket, openAgain := openAdminSocket(t)
	if info, err := os.Stat(socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Error(info, err)
	}
	for _, text := range []string{"nothing\n", `{"do":"dance"}` + "\n", strings.Repeat("x", 3<<20) + "\n"} {
		conn, err := net.Dial("unix", socket)
		if err != nil {
			t.Fatal(err)
		}
		go fmt.Fprint(conn, text)
		answer, _ := io.ReadAll(io.LimitReader(conn, 40))
		if !strings.Contains(string(answer), `"error":"`) {
			t.Errorf("request %.20q: answer %q has no error", text, answer)
		}
		conn.Close()
	}
	if err := openAgain(); err == nil {
		t.Error("a second server listens on a socket that is in use")
	}
}
