// Package rollout owns the active routes, pools and limits of a gateway. It holds the versions of
// their configuration (package config/change), the views under which lookups are decided (package
// route/pools) and the limits (package limit), and it writes each step of a change to disk.
//
// Those packages do no I/O and make the decisions: which step a change may take next, which route
// a lookup has, what a limit rejects. This package supplies the time, the endpoint list and the
// disk. A lookup loads the active views from an atomic pointer, is decided under one version and
// carries the number of that version. A step is taken on a copy of the versions, which becomes visible as a whole, with
// its routes, after the step has been written to disk, so that a restart never loses a version that was active as
// confirmed. Only a rollback becomes visible even if it cannot be written.
package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/env"
	"foldslip/internal/limit"
	"foldslip/internal/route/pools"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/wal"
)

const (
	logName     = "routes" // name of the log, with which its file names begin
	maxLogBytes = 8 << 20  // size of a log generation above which a snapshot begins a new one

	settingsAuthor = "settings" // author of the first version
)

// Controller owns the active routes, pools and limits. It lives as long as the process. Its
// size is bounded by the packages change, pools and limit. It is safe for concurrent use.
type Controller struct {
	env    env.Environment
	kinds  []string // object kinds of the platform's settings
	log    *wal.Log // nil if nothing is stored
	active atomic.Pointer[activeViews]

	stepMu sync.Mutex // serializes steps, held for a whole step including its write; locked before mu

	mu        sync.Mutex // guards the fields below, of which versions and tables change only while stepMu is held too
	endpoints map[string]pools.Cache
	versions  *change.Versions
	lastFile  []byte                  // routes of the operators' file as it was last read and not refused
	tables    map[uint64]*pools.Table // tables of the active versions
	limits    *limit.Set
	guard     *change.Guard
}

// activeViews holds the active versions and their views, under which lookups are decided. It is immutable.
type activeViews struct {
	change.Active
	base *pools.View
	next *pools.View // nil if base applies to all objects
}

// Open returns a Controller with the versions that the log in the directory holds, or with the first configuration
// if the log is empty. If the directory is nil, nothing is stored. The caller must call Run or Close.
func Open(e env.Environment, directory env.Directory, first config.RouteConfig, kinds []string) (*Controller, error) {
	c := &Controller{env: e, kinds: kinds, guard: change.NewGuard(e.Now(), change.DefaultGuardLimits), endpoints: map[string]pools.Cache{},
		tables: map[uint64]*pools.Table{}}
	text, err := json.Marshal(first)
	if err != nil {
		return nil, err
	}
	if directory == nil {
		c.versions, _ = change.New(text, settingsAuthor)
	} else if err := c.openLog(directory, text); err != nil {
		return nil, err
	}
	tables, err := c.compileActive(c.versions)
	if err != nil {
		c.Close()
		return nil, err
	}
	c.install(c.versions, tables)
	if c.lastFile = c.versions.LastConfirmedBy(settingsAuthor, fileAuthor); c.lastFile == nil {
		c.lastFile = text
	}
	return c, nil
}

// openLog opens the log and restores the versions that it holds.
func (c *Controller) openLog(directory env.Directory, first []byte) error {
	log, contents, err := wal.Open(directory, logName)
	if err != nil {
		return fmt.Errorf("open the log of routes: %w", err)
	}
	c.log = log
	if err := c.restore(contents, first); err != nil {
		c.log.Close()
		return err
	}
	return nil
}

// restore rebuilds the versions from the contents of the log, or creates the first version if the log
// is empty. It then begins a new generation of the log. A change that was in progress is rolled back.
func (c *Controller) restore(contents wal.Contents, first []byte) error {
	steps, err := decodeSteps(contents)
	if err != nil {
		return fmt.Errorf("decode the log of routes: %w", err)
	}
	if len(steps) == 0 {
		c.versions, _ = change.New(first, settingsAuthor)
		return c.writeSnapshot(c.versions)
	}
	versions, rolledBack, err := change.Recover(steps)
	if err != nil {
		return err
	}
	c.versions = versions
	for _, step := range rolledBack {
		c.env.Log().Warn("route_change_rolled_back", "version", step.Version, "reason", step.Reason)
	}
	return c.writeSnapshot(versions)
}

func decodeSteps(contents wal.Contents) (steps []change.Step, err error) {
	if contents.Snapshot != nil {
		if err := cbor.Unmarshal(contents.Snapshot, &steps); err != nil {
			return nil, err
		}
	}
	for _, encoded := range contents.Changes {
		var step change.Step
		if err := cbor.Unmarshal(encoded, &step); err != nil {
			return nil, err
		}
		steps = append(steps, step)
	}
	return steps, nil
}

func (c *Controller) writeSnapshot(versions *change.Versions) error {
	encoded, err := cbor.Marshal(versions.Snapshot())
	if err != nil {
		return err
	}
	return c.log.WriteSnapshot(encoded)
}

// Close closes the log.
func (c *Controller) Close() {
	if c.log != nil {
		c.log.Close()
	}
}

// SetGuardLimits sets the limits at which the guard rolls a change back. It must be called before Run.
func (c *Controller) SetGuardLimits(limits change.GuardLimits) {
	c.guard = change.NewGuard(c.env.Now(), limits)
}

// edgeMachineType is the machine type of edge caches in the platform's settings. Endpoints of other types are sources.
const edgeMachineType = "edge"

// UpdateEndpoints applies an update of the endpoint list from
// discovery. It is called before the dispatcher receives the update.
func (c *Controller) UpdateEndpoints(update endpoints.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if update.Complete {
		clear(c.endpoints)
	}
	for _, e := range update.Endpoints {
		if e.Phase == endpoints.Removed {
			delete(c.endpoints, e.ID)
			continue
		}
		c.endpoints[e.ID] = pools.Cache{Name: e.ID, Location: e.Zone, Labels: []string{e.MachineType, fmt.Sprint("cell-", e.Cell)},
			IsSource: e.MachineType != edgeMachineType, IsDraining: e.Phase == endpoints.Draining}
	}
	if len(update.Endpoints) > 0 || update.Complete {
		c.rebuildViews()
	}
}

func (c *Controller) sortedCaches() []pools.Cache {
	sorted := make([]pools.Cache, 0, len(c.endpoints))
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		sorted = append(sorted, c.endpoints[id])
	}
	return sorted
}

// rebuildViews publishes the views of the active versions for the current endpoint list. The caller holds c.mu.
func (c *Controller) rebuildViews() {
	views := &activeViews{Active: c.versions.Active()}
	caches := c.sortedCaches()
	views.base = c.tables[views.Base].View(views.Base, caches)
	if views.Next != 0 {
		views.next = c.tables[views.Next].View(views.Next, caches)
	}
	c.active.Store(views)
}

// compileActive returns the tables of the active versions, of which it compiles those that are not active yet. The caller
// holds c.stepMu, or the controller is not shared yet.
func (c *Controller) compileActive(versions *change.Versions) (map[uint64]*pools.Table, error) {
	active := versions.Active()
	tables := map[uint64]*pools.Table{}
	for _, version := range []uint64{active.Base, active.Next} {
		if version == 0 {
			continue
		}
		if table := c.tables[version]; table != nil {
			tables[version] = table
			continue
		}
		table, problems, err := c.compile(versions.Text(version))
		if err != nil {
			return nil, err
		}
		if table == nil {
			return nil, &UnusableVersionError{Version: version, Problem: problems[0]}
		}
		tables[version] = table
	}
	return tables, nil
}

// install makes versions visible with the tables of those that are active, installs the limits of the base version and
// publishes the views. The caller holds c.mu, or the controller is not shared yet.
func (c *Controller) install(versions *change.Versions, tables map[uint64]*pools.Table) {
	c.versions, c.tables = versions, tables
	active := versions.Active()
	before := c.active.Load()
	// Only a new base version brings new limits. A staged share of the objects stays under the earlier limits.
	if c.limits == nil || before == nil || before.Base != active.Base {
		c.activateLimits(c.tables[active.Base].Limits())
	}
	c.rebuildViews()
}

func (c *Controller) activateLimits(specs map[string]limit.Spec) {
	if c.limits == nil {
		c.limits = limit.NewSet(c.env.Now(), specs)
	} else {
		c.limits = c.limits.Carry(c.env.Now(), specs)
	}
}

// UnusableVersionError reports a version that has to become active and does not compile, for example because
// the platform's settings have changed. The remedy is to propose another version or to delete the log.
type UnusableVersionError struct {
	Version uint64
	Problem pools.Problem
}

// Error names the version and the problem.
func (e *UnusableVersionError) Error() string {
	return fmt.Sprintf("version %d of the routes does not compile: %s: %s", e.Version, e.Problem.Path, e.Problem.Text)
}

func (c *Controller) compile(text []byte) (*pools.Table, []pools.Problem, error) {
	var routes config.RouteConfig
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&routes); err != nil {
		return nil, nil, change.Error{Text: "the configuration cannot be decoded: " + err.Error(), Remedy: "see docs/configuration.md"}
	}
	table, problems := pools.Compile(routes, c.kinds)
	return table, problems, nil
}
