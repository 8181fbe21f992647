package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"runtime"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A crowd is a process of its own with hollow gateways in it, so that what it spends is theirs alone. It is told by lines of JSON on its
// standard input and answers each with one on its standard output, until the input ends.

// command is a line to a crowd.
type command struct {
	Action   string          `json:"do"` // start, halt, restart, usage, arrivals, profile, stop
	First    int             `json:"first,omitempty"`
	Count    int             `json:"count,omitempty"`
	Watch    []string        `json:"watch,omitempty"`
	Base     int64           `json:"base,omitempty"`
	Known    json.RawMessage `json:"known,omitempty"`
	Gateways int             `json:"gateways,omitempty"`
	Zones    int             `json:"zones,omitempty"`
	Lookups  float64         `json:"lookups,omitempty"`
	Since    int64           `json:"since,omitempty"` // of the pace
	Stretch  float64         `json:"stretch,omitempty"`
	GC       bool            `json:"gc,omitempty"`
	From     int64           `json:"from,omitempty"`
	To       int64           `json:"to,omitempty"`
	File     string          `json:"file,omitempty"`
}

// reply is a crowd's line.
type reply struct {
	Error    string    `json:"error,omitempty"`
	Usage    *Usage    `json:"usage,omitempty"`
	Arrivals []Arrival `json:"arrivals,omitempty"`
}

// Usage is what a crowd has spent since it began; see runtime.MemStats.
type Usage struct {
	Heap        uint64           `json:"Heap"`
	Mallocs     uint64           `json:"Mallocs"`
	AllocBytes  uint64           `json:"AllocBytes"`
	In          int64            `json:"In"`
	Out         int64            `json:"Out"`
	Reads       int64            `json:"Reads"`
	Writes      int64            `json:"Writes"`
	Dials       int64            `json:"Dials"`
	LogLines    int64            `json:"Log"`
	EventCounts map[string]int64 `json:"Closed"` // ends of watches and faults by reason
}

const maxCommandBytes = 4 << 20 // bytes of a line: a whole list is some 300 KB

// RunHollowProcess runs hollow gateways as told on in until it ends; foldslip-rig's hidden command.
func RunHollowProcess(in io.Reader, out io.Writer) error {
	c := &hollowServer{environment: NewEnvironment(NewSlowClock(0, 1)), arrivals: &ArrivalLog{}, gateways: map[int]*HollowGateway{}, lastEvents: map[int]*atomic.Int64{}}
	defer c.stop()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxCommandBytes)
	to := json.NewEncoder(out)
	for lines.Scan() {
		var o command
		a, err := &reply{}, json.Unmarshal(lines.Bytes(), &o)
		if err == nil {
			err = c.handle(&o, a)
		}
		if err != nil {
			a.Error = err.Error()
		}
		if err := to.Encode(a); err != nil {
			return err
		}
	}
	return lines.Err()
}

type hollowServer struct {
	environment  *Environment
	arrivals     *ArrivalLog
	gateways     map[int]*HollowGateway
	lastEvents   map[int]*atomic.Int64 // position of the last event that counts
	startCommand command               // start
	places       []Place
	profile      *os.File // of the profile under way
}

func (c *hollowServer) handle(o *command, a *reply) error {
	switch o.Action {
	case "start":
		c.startCommand, c.places, c.environment = *o, ScaledLayout(o.Gateways), NewEnvironment(NewSlowClock(o.Since, o.Stretch))
		for i := range o.Count {
			if err := c.start(o.First+i, o.Base, o.Known, o.Watch[i]); err != nil {
				return err
			}
		}
	case "halt":
		was := c.gateways[o.First]
		if was == nil {
			return fmt.Errorf("gateway %d is not here", o.First)
		}
		return was.Stop()
	case "restart":
		if at := c.lastEvents[o.First]; at != nil { // what was told while it was down, the list that it starts with has taken in
			for pos := at.Load() + 1; pos <= o.Base; pos++ {
				c.arrivals.Record(pos, time.Time{})
			}
		}
		return c.start(o.First, o.Base, o.Known, c.startCommand.Watch[o.First-c.startCommand.First])
	case "usage":
		if o.GC {
			runtime.GC()
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		g := c.environment
		a.Usage = &Usage{Heap: m.HeapAlloc, Mallocs: m.Mallocs, AllocBytes: m.TotalAlloc, In: g.In.Load(), Out: g.Out.Load(), Reads: g.Reads.Load(),
			Writes: g.Writes.Load(), Dials: g.Dials.Load(), EventCounts: g.LogCounts()}
	case "arrivals":
		var err error
		a.Arrivals, err = c.arrivals.Since(o.From, o.To)
		return err
	case "profile":
		if c.profile != nil {
			pprof.StopCPUProfile()
			err := c.profile.Close()
			c.profile = nil
			return err
		}
		var err error
		if c.profile, err = os.Create(o.File); err != nil {
			return err
		}
		return pprof.StartCPUProfile(c.profile)
	case "stop":
		return c.stop()
	default:
		return fmt.Errorf("%q is no order", o.Action)
	}
	return nil
}

func (c *hollowServer) start(i int, base int64, known json.RawMessage, watch string) (err error) {
	at := &atomic.Int64{}
	at.Store(base)
	c.lastEvents[i] = at
	c.gateways[i], err = StartHollowGateway(c.environment, HollowOptions{DiscoveryAddr: watch, Known: known, Settings: Settings(c.places, i, c.startCommand.Zones), Seed: uint64(i) + 1,
		LookupsPerSecond: c.startCommand.Lookups, OnEvent: func(no int64) {
			at.Store(base + no - 1)
			c.arrivals.Record(base+no-1, c.environment.Now())
		}})
	return err
}

func (c *hollowServer) stop() error {
	var errs []error
	for _, h := range c.gateways { // all at once
		h.lifetime.End()
	}
	for _, h := range c.gateways {
		errs = append(errs, h.Stop())
	}
	clear(c.gateways)
	return errors.Join(errs...)
}

// hollowProcess is the other side: a process that this one started.
type hollowProcess struct {
	cmd          *exec.Cmd
	in           io.WriteCloser
	out          *bufio.Reader
	mu           sync.Mutex // one order at a time
	first, count int
}

// startHollowProcess starts a process that runs Crowd.
func startHollowProcess(cmd *exec.Cmd) (*hollowProcess, error) {
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &hollowProcess{cmd: cmd, in: in, out: bufio.NewReader(out)}, nil
}

func (c *hollowProcess) call(o command) (*reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := json.NewEncoder(c.in).Encode(o); err != nil {
		return nil, fmt.Errorf("a process of hollow gateways: %w", err)
	}
	line, err := c.out.ReadBytes('\n')
	if err != nil {
		return nil, fmt.Errorf("a process of hollow gateways: %w", err)
	}
	var a reply
	if err := json.Unmarshal(line, &a); err != nil {
		return nil, err
	}
	if a.Error != "" {
		return nil, errors.New(a.Error)
	}
	return &a, nil
}

// end ends the process: by the end of its input, and by its id where that does not do.
func (c *hollowProcess) end() error {
	c.in.Close()
	late := time.AfterFunc(20*time.Second, func() { c.cmd.Process.Kill() })
	defer late.Stop()
	return c.cmd.Wait()
}

// cpuOf is the processor time that a process has used, by all its threads: the kernel's clock of that process, in nanoseconds, of
// which getrusage tells the same sum only for oneself.
func cpuOf(pid int) (time.Duration, error) {
	const ofProcess = 2 // CPUCLOCK_SCHED of the whole process
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid)<<3|ofProcess, &t); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// runQueueWaitOf is how long a process's threads that there are now have stood ready to run without a core, since they began.
func runQueueWaitOf(pid int) (sum time.Duration, err error) {
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return 0, err
	}
	for _, t := range tasks {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, t.Name()))
		if errors.Is(err, os.ErrNotExist) {
			continue // it ended meanwhile
		}
		if err != nil {
			return 0, err
		}
		var ran, waited int64
		if _, err := fmt.Sscan(string(text), &ran, &waited); err != nil {
			return 0, err
		}
		sum += time.Duration(waited)
	}
	return sum, nil
}

// residentOf is the anonymous memory of a process in bytes.
func residentOf(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("process %d: no RssAnon in its status", pid)
}

// machineBusy is the processor time that the whole machine has spent on work since it began, on all cores.
func machineBusy() (time.Duration, error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	var sum int64
	for i, word := range strings.Fields(line) {
		if i == 0 || i == 4 || i == 5 || i > 8 { // its name, idle, iowait, and guests, who are in user
			continue
		}
		n, err := strconv.ParseInt(word, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return time.Duration(sum) * 10 * time.Millisecond, nil // USER_HZ is 100
}

func cores() int { return runtime.NumCPU() }

// countsSince is how much of each reason came between two usages.
func countsSince(after, before map[string]int64) map[string]int64 {
	out := maps.Clone(after)
	for k, n := range before {
		if out[k] -= n; out[k] == 0 {
			delete(out, k)
		}
	}
	return out
}
