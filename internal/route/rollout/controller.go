// Package rollout owns the active routes, pools and limits: it holds the changes of their configuration (package config/change), the views
// that lookups are decided under (package route/pools) and the limits (package limit), and writes each step to disk.
//
// The pure packages decide: which step a change may take, which route a lookup has, what a limit rejects. This one brings them the time, the
// list of caches and the disk. A lookup is decided under the one version that it found in an atomic pointer, and carries its number. A step
// counts once it is on disk and becomes active after that, so that a restart never finds less than was active as confirmed.
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
	logName     = "routes" // of the log's files
	maxLogBytes = 8 << 20  // of a generation; past it a snapshot is written

	settingsAuthor = "settings" // of the first version
)

// Controller owns the active routes. It lives as long as the process, is bounded by change, pools and limit, and is safe for concurrent use.
type Controller struct {
	env    env.Environment
	kinds  []string // object kinds of the platform's settings
	log    *wal.Log // nil: nothing is stored
	active atomic.Pointer[activeViews]

	stepMu sync.Mutex // held over a complete step, its write included: steps come one after another; taken before mu

	mu        sync.Mutex // of what follows; never held over a write
	endpoints map[string]pools.Cache
	versions  *change.Versions
	tables    map[uint64]*pools.Table // of the versions that are active
	limits    *limit.Set
	guard     *change.Guard
}

// activeViews is what lookups are decided under at one time. It never changes.
type activeViews struct {
	change.Active
	base *pools.View
	next *pools.View // nil: base holds for all
}

// Open begins with the routes that the log in a directory holds, or with the first configuration if there is none. Without a directory
// nothing is stored. Run or Close must follow.
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
	if err := c.activate(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// openLog opens the log and restores the versions that it holds.
func (c *Controller) openLog(directory env.Directory, first []byte) error {
	log, contents, err := wal.Open(directory, logName)
	if err != nil {
		return fmt.Errorf("the record of routes: %w", err)
	}
	c.log = log
	if err := c.restore(contents, first); err != nil {
		c.log.Close()
		return err
	}
	return nil
}

// restore takes the versions of a log, or the first one if it is empty, and begins a generation. A change in progress is rolled back.
func (c *Controller) restore(contents wal.Contents, first []byte) error {
	steps, err := decodeSteps(contents)
	if err != nil {
		return fmt.Errorf("the record of routes: %w", err)
	}
	if len(steps) == 0 {
		c.versions, _ = change.New(first, settingsAuthor)
		return c.writeSnapshot()
	}
	versions, rolledBack, err := change.Recover(steps)
	if err != nil {
		return err
	}
	c.versions = versions
	for _, step := range rolledBack {
		c.env.Log().Warn("route_change_rolled_back", "version", step.Version, "reason", step.Reason)
	}
	return c.writeSnapshot()
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

func (c *Controller) writeSnapshot() error {
	encoded, err := cbor.Marshal(c.versions.Snapshot())
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

// SetGuardLimits sets what rolls a change back by itself. It must be called before Run.
func (c *Controller) SetGuardLimits(limits change.GuardLimits) {
	c.guard = change.NewGuard(c.env.Now(), limits)
}

const edgeMachineType = "edge" // in the platform's settings; caches of other types are sources

// UpdateEndpoints takes what discovery reported, before the dispatcher gets it.
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

// rebuildViews makes the views of the active versions with the present caches. The lock is held.
func (c *Controller) rebuildViews() {
	views := &activeViews{Active: c.versions.Active()}
	caches := c.sortedCaches()
	views.base = c.tables[views.Base].View(views.Base, caches)
	if views.Next != 0 {
		views.next = c.tables[views.Next].View(views.Next, caches)
	}
	c.active.Store(views)
}

// activate makes the versions active that the changes name. The lock is held, or nobody else has the controller yet.
func (c *Controller) activate() error {
	active := c.versions.Active()
	for _, version := range []uint64{active.Base, active.Next} {
		if version == 0 || c.tables[version] != nil {
			continue
		}
		table, problems, err := c.compile(c.versions.Text(version))
		if err != nil {
			return err
		}
		if table == nil {
			return &UnusableVersionError{Version: version, Problem: problems[0]}
		}
		c.tables[version] = table
	}
	maps.DeleteFunc(c.tables, func(version uint64, _ *pools.Table) bool { return version != active.Base && version != active.Next })
	before := c.active.Load()
	if c.limits == nil || before == nil || before.Base != active.Base { // a staged share stays under the limits of before
		c.activateLimits(c.tables[active.Base].Limits())
	}
	c.rebuildViews()
	return nil
}

func (c *Controller) activateLimits(specs map[string]limit.Spec) {
	if c.limits == nil {
		c.limits = limit.NewSet(c.env.Now(), specs)
	} else {
		c.limits = c.limits.Carry(c.env.Now(), specs)
	}
}

// UnusableVersionError reports a version that should be active and doesn't compile, as under other platform settings. Propose another, or
// forget the log.
type UnusableVersionError struct {
	Version uint64
	Problem pools.Problem
}

// Error names the version and the problem.
func (e *UnusableVersionError) Error() string {
	return fmt.Sprintf("version %d of the routes cannot be used: %s: %s", e.Version, e.Problem.Path, e.Problem.Text)
}

func (c *Controller) compile(text []byte) (*pools.Table, []pools.Problem, error) {
	var routes config.RouteConfig
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&routes); err != nil {
		return nil, nil, change.Error{Text: "the configuration cannot be read: " + err.Error(), Remedy: "see docs/configuration.md"}
	}
	table, problems := pools.Compile(routes, c.kinds)
	return table, problems, nil
}
