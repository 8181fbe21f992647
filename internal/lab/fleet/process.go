package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-logfmt/logfmt"

	"foldslip/internal/admin"
	"foldslip/internal/fleet/membership"
)

// loggedView is what a gateway's own log says of the fleet.
type loggedView struct {
	live    map[string]bool
	settled bool
	digest  string
}

// process is one gateway of the rig, over its starts.
type process struct {
	name, dir string
	program   string
	env       []string
	args      []string
	clients   string // where clients connect
	discovery string // where it hears the bulletin
	rig       *Rig

	mu         sync.Mutex // guards what follows; the rig reads it while the log is read
	cmd        *exec.Cmd
	unpaused   bool // runs and is not paused
	ready      bool // and said that it started: clients may come
	paused     bool
	expectedUp bool // its end would be a crash
	stopped    bool // it was asked to end, and is to do so in good order
	crashed    string
	starts     int
	view       loggedView
	ended      chan struct{}
	log        *os.File
}

const maxLine = 64 << 10

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s runs already", p.name)
	}
	cmd := exec.Command(p.program, p.args...)
	cmd.Env = p.env
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.unpaused, p.ready, p.paused, p.expectedUp = cmd, true, false, false, true
	p.starts++
	p.view = loggedView{live: map[string]bool{p.name: true}}
	p.ended = make(chan struct{})
	go p.readLog(out, cmd, p.ended)
	return nil
}

// readLog follows the log until the process ends.
func (p *process) readLog(out io.Reader, cmd *exec.Cmd, ended chan struct{}) {
	in := bufio.NewReaderSize(out, maxLine)
	for {
		line, long, err := in.ReadLine()
		if err != nil {
			break
		}
		at := time.Now()
		p.log.Write(append(append([]byte(nil), line...), '\n'))
		if !long {
			p.handleLine(string(line), at)
		}
	}
	err := cmd.Wait()
	p.mu.Lock()
	if p.cmd == cmd {
		p.cmd, p.unpaused, p.ready = nil, false, false
		if p.expectedUp || p.stopped && err != nil {
			p.crashed = fmt.Sprintf("%s ended by itself: %v", p.name, err)
		}
	}
	p.mu.Unlock()
	p.rig.requestObservation()
	close(ended)
}

func (p *process) handleLine(text string, at time.Time) {
	if strings.Contains(text, "DATA RACE") || strings.HasPrefix(text, "panic:") {
		p.mu.Lock()
		p.crashed = p.name + ": " + text
		p.mu.Unlock()
	}
	if strings.Contains(text, " event=started ") {
		p.mu.Lock()
		p.ready = true
		p.mu.Unlock()
	}
	if !strings.Contains(text, "event=fleet_") && !strings.Contains(text, "event=policy_fault") {
		return
	}
	d := logfmt.NewDecoder(strings.NewReader(text))
	f := map[string]string{}
	for d.ScanRecord() {
		for d.ScanKeyval() {
			f[string(d.Key())] = string(d.Value())
		}
	}
	p.mu.Lock()
	switch f["event"] {
	case "policy_fault":
		p.crashed = p.name + ": policy_fault"
	case "fleet_member":
		was := p.view.live[f["name"]]
		switch f["state"] {
		case "alive", "suspect":
			p.view.live[f["name"]] = true
		default:
			delete(p.view.live, f["name"])
		}
		if was != p.view.live[f["name"]] || f["why"] == "restarted" {
			p.view.settled = false
		}
	case "fleet_process_paused":
		p.view.settled = false
	case "fleet_name_deferred":
		p.view = loggedView{live: map[string]bool{p.name: true}}
	case "fleet_settled":
		p.view.settled, p.view.digest = true, f["digest"]
	}
	p.mu.Unlock()
	p.rig.handleLogEvent(p.name, f, at)
}

// signalAndWait ends the process by a signal and waits for it.
func (p *process) signalAndWait(sig syscall.Signal, within time.Duration) error {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.expectedUp, p.unpaused, p.stopped = false, false, sig == syscall.SIGTERM
	if cmd != nil && p.paused && sig != syscall.SIGKILL {
		cmd.Process.Signal(syscall.SIGCONT)
	}
	p.paused = false
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	cmd.Process.Signal(sig)
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case <-ended:
		return nil
	case <-late.C:
		cmd.Process.Kill()
		<-ended
		return fmt.Errorf("%s did not end within %v of signal %v", p.name, within, sig)
	}
}

// setPaused stops the process, or lets it go on.
func (p *process) setPaused(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.name)
	}
	sig := syscall.SIGCONT
	if on {
		sig = syscall.SIGSTOP
	}
	p.paused, p.unpaused = on, !on
	return p.cmd.Process.Signal(sig)
}

func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unpaused
}

func (p *process) isServing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unpaused && p.ready
}

// report asks the gateway at its socket.
func (p *process) report(ctx context.Context) (*membership.Report, error) {
	a, err := admin.Send(ctx, p.socket(), admin.Request{Command: "fleet"})
	if err != nil {
		return nil, err
	}
	if a.Fleet == nil {
		return nil, errors.New(a.Error)
	}
	return a.Fleet, nil
}

func (p *process) socket() string { return filepath.Join(p.dir, "s") }
