package stand

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Gateway is one gateway process, started by the command of the deploy file.
type Gateway struct {
	Root, Run, Name, Listen, Dir string
	Config                       map[string]any
	Env                          []string

	cmd   *exec.Cmd
	ended chan struct{}
	mu    sync.Mutex
	exit  error
}

// RunCommand returns the value of run in the deploy file.
func RunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strconv.Unquote(value)
		}
	}
	return "", errors.New("no run command")
}

// FreePort returns an address on loopback that nothing listens on now.
func FreePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// WriteConfig writes the configuration file.
func (g *Gateway) WriteConfig() error {
	text, err := json.Marshal(g.Config)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(g.Dir, g.Name+".json"), text, 0o644)
}

// Start starts the process and waits until it answers pings with 200.
func (g *Gateway) Start() error {
	if err := g.WriteConfig(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.Dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command("/bin/sh", "-c", g.Run)
	g.cmd.Dir = g.Root
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.Env = append(os.Environ(), "ROUTER_NAME="+g.Name, "ROUTER_LISTEN="+g.Listen, "ROUTER_CONFIG="+filepath.Join(g.Dir, g.Name+".json"))
	g.cmd.Env = append(g.cmd.Env, g.Env...)
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.ended = ended
	cmd := g.cmd
	go func() {
		err := cmd.Wait()
		g.mu.Lock()
		g.exit = err
		g.mu.Unlock()
		close(ended)
	}()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for begin := time.Now(); time.Since(begin) < 30*time.Second; time.Sleep(20 * time.Millisecond) {
		if g.HasEnded() {
			return fmt.Errorf("gateway ended: %v", g.exit)
		}
		if response, err := client.Get("http://" + g.Listen + "/ping"); err == nil {
			response.Body.Close()
			if response.StatusCode == 200 {
				return nil
			}
		}
	}
	return errors.New("gateway not ready within 30 s")
}

// HasEnded reports whether the process has ended.
func (g *Gateway) HasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process, and nothing if it has ended.
func (g *Gateway) Signal(s syscall.Signal) {
	if g.cmd != nil && !g.HasEnded() {
		g.cmd.Process.Signal(s)
	}
}

// Wait waits for the end of the process, at most for d.
func (g *Gateway) Wait(d time.Duration) bool {
	select {
	case <-g.ended:
		return true
	case <-time.After(d):
		return false
	}
}

// Memory returns a figure of /proc/PID/status in KB, such as VmRSS or VmHWM.
func (g *Gateway) Memory(name string) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	for s.Scan() {
		if value, ok := strings.CutPrefix(s.Text(), name+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

// Kind is an object kind of the settings.
type Kind struct {
	Name             string
	Aim, Deadline    time.Duration
	Stretch          float64
	Effect, Group    string
	Window           time.Duration
	MaxAge, Grace    time.Duration
	PassOn           bool
	Points, LateCost float64
}

// Site is what the settings are made of.
type Site struct {
	Areas         []string
	Zone          int
	Gateways      int
	Kinds         []Kind
	DrainGrace    time.Duration
	PurgeGrace    time.Duration
	MaxAttempts   int
	MaxRetryAfter time.Duration
	Tells         string
	Streams       int
	Idle          time.Duration
	FlowKB        float64
	SeatsByZone   []int
}

// Settings returns the settings of a site as a gateway is given them.
func (s *Site) Settings() map[string]any {
	var classes []any
	var maxAge, grace, worth, passOn []any
	for _, k := range s.Kinds {
		class := map[string]any{"name": k.Name, "aim": k.Aim.Microseconds(), "aim_stretch": k.Stretch, "deadline": k.Deadline.Microseconds(),
			"effect": k.Effect, "group": "all", "window": k.Window.Microseconds(), "late_worth": k.LateCost, "points": k.Points, "stream": false}
		if k.Group != "" {
			class["group"] = k.Group
		}
		classes = append(classes, class)
		maxAge = append(maxAge, k.MaxAge.Microseconds())
		grace = append(grace, k.Grace.Microseconds())
		worth = append(worth, 0.7)
		passOn = append(passOn, k.PassOn)
	}
	return map[string]any{
		"areas": s.Areas, "az": s.Zone, "balancers": s.Gateways, "discovery": "push", "weights": "off", "family": "edge", "me": 0,
		"machine_types": []string{"edge", "parent", "origin"},
		"ceilings": map[string]any{"cancelling": true, "connect_timeout": 400000, "keepalive": s.Idle.Microseconds(),
			"max_retry_after": s.MaxRetryAfter.Microseconds(), "max_streams": s.Streams, "retry_after": true, "second_copies": true,
			"try_limit": s.MaxAttempts, "peers": false, "probes": true},
		"rules": map[string]any{"answer_slack": 8000, "cold": 13000000, "cold_from": 0.16, "fall": 1000000, "fall_multiple": 3.0,
			"must_ask_in": 10000000, "stop_sending_within": s.DrainGrace.Microseconds()},
		"classes": classes,
		"specifics": map[string]any{"cleared_within": 6000000, "flow_kb_per_s": s.FlowKB, "grace_for": grace, "max_age": maxAge,
			"merges_fills": true, "obey_after": s.PurgeGrace.Microseconds(), "origin_fall": 3000000, "parent_breaks_at": 2.0, "parent_kind": 1,
			"parent_ramp": 21000000, "parent_starts_at": 0.064, "pass_on": passOn, "seats_by_zone": s.SeatsByZone, "source_kind": 2,
			"tells": s.Tells, "worth_when_old": worth, "may_pass_by": false},
	}
}
