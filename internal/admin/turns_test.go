package admin

import (
	"context"
	"io"
	"log/slog"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/env"
	"foldslip/internal/route/rollout"
)

const requestWait = 4 * time.Second // less than requestTimeout

// slowDirectory is a directory whose files wait in Sync while isSlow is set.
type slowDirectory struct {
	env.Directory
	isSlow  atomic.Bool
	waiting chan bool // receives a value for each Sync that waits
	release chan bool // Sync continues when it is closed
}

// Create returns a file that waits in Sync.
func (d *slowDirectory) Create(name string) (env.File, error) {
	file, err := d.Directory.Create(name)
	return &slowFile{file, d}, err
}

type slowFile struct {
	env.File
	directory *slowDirectory
}

// Sync waits until release is closed, if the directory is slow.
func (f *slowFile) Sync() error {
	if f.directory.isSlow.Load() {
		f.directory.waiting <- true
		<-f.directory.release
	}
	return f.File.Sync()
}

// serveSlowRoutes serves a controller whose log is in a slowDirectory, and returns the socket's path.
func serveSlowRoutes(t *testing.T, directory *slowDirectory) (socket string) {
	t.Helper()
	environment := env.NewSystem(io.Discard, slog.LevelInfo)
	routes, err := rollout.Open(environment, directory, config.RouteConfig{}, []string{"segment"})
	if err != nil {
		t.Fatal(err)
	}
	socket = filepath.Join(t.TempDir(), "admin")
	server, err := Open(environment, socket, Services{Routes: routes})
	if err != nil {
		t.Fatal(err)
	}
	lifetime := env.NewLifetime(nil)
	ended := make(chan error)
	go func() { ended <- server.Run(lifetime) }()
	t.Cleanup(func() {
		lifetime.End()
		<-ended
		routes.Close()
	})
	return socket
}

// TestQueriesBesideAStepThatWaitsForTheDisk guards against queries that wait for the turn of a step that is being
// written to a slow disk.
func TestQueriesBesideAStepThatWaitsForTheDisk(t *testing.T) {
	files, err := env.OpenOSDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	directory := &slowDirectory{Directory: files, waiting: make(chan bool, 9), release: make(chan bool)}
	socket := serveSlowRoutes(t, directory)
	directory.isSlow.Store(true)
	ctx, stop := context.WithTimeout(context.Background(), requestWait)
	defer stop()
	stepped := make(chan Response, 1)
	go func() {
		response, _ := Send(ctx, socket, Request{Command: CommandPropose, Config: &config.RouteConfig{}, Author: "ada", Reason: "sale"})
		stepped <- response
	}()
	<-directory.waiting
	queried := make(chan error, 1)
	go func() {
		_, err := Send(ctx, socket, Request{Command: CommandHistory})
		queried <- err
	}()
	select {
	case err := <-queried:
		if err != nil {
			t.Errorf("query beside the step: %v", err)
		}
	case <-time.After(requestWait):
		t.Error("the query waits for the step")
	}
	directory.isSlow.Store(false)
	close(directory.release)
	if response := <-stepped; response.Step == nil || response.Step.Stage != change.Checked {
		t.Errorf("response to the step %+v, expected a checked change", response)
	}
}
