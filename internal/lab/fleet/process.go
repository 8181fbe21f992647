package fleet

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"foldslip/internal/admin"
	"foldslip/internal/fleet/membership"
)

// process is one gateway of the rig, over all of its starts.
type process struct {
	name      string
	dir       string // its settings, log, admin socket and kept members
	program   string
	env       []string
	args      []string
	clients   string // address for clients
	discovery string // address of its discovery server: a private listener of the relay
	rig       *Rig
	log       *os.File // written by followLog only

	mu         sync.Mutex    // guards what follows
	cmd        *exec.Cmd     // nil: does not run
	ended      chan struct{} // closed when cmd has ended
	running    bool          // runs and is not paused
	ready      bool          // and has logged that it started: clients may connect
	paused     bool
	expectedUp bool // its end would be a crash
	stopped    bool // SIGTERM was sent: its exit code must be 0
	crash      error
	starts     int
	view       loggedView
}

// start starts the gateway's process; its log is followed until it ends.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return &GatewayError{p.name, ErrRunning}
	}
	cmd := exec.Command(p.program, p.args...)
	cmd.Env = p.env
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	output, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	p.running = true
	p.ready = false
	p.paused = false
	p.expectedUp = true
	p.starts++
	p.view = loggedView{live: map[string]bool{p.name: true}}
	p.ended = make(chan struct{})
	go p.follow(output, cmd, p.ended)
	return nil
}

// follow reads the process's log until it ends, and closes ended.
func (p *process) follow(output io.Reader, cmd *exec.Cmd, ended chan struct{}) {
	p.followLog(output)
	err := cmd.Wait()
	p.mu.Lock()
	if p.cmd == cmd {
		p.cmd = nil
		p.running = false
		p.ready = false
		if p.expectedUp || p.stopped && err != nil {
			p.crash = &CrashError{Gateway: p.name, Exit: err}
		}
	}
	p.mu.Unlock()
	p.rig.requestObservation()
	close(ended)
}

// signalAndWait sends the process a signal that ends it and waits for its end. After the timeout it is killed. A process that does
// not run is no error.
func (p *process) signalAndWait(signal syscall.Signal, timeout time.Duration) error {
	p.mu.Lock()
	cmd := p.cmd
	ended := p.ended
	p.expectedUp = false
	p.running = false
	p.stopped = signal == syscall.SIGTERM
	if cmd != nil && p.paused && signal != syscall.SIGKILL {
		cmd.Process.Signal(syscall.SIGCONT)
	}
	p.paused = false
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	cmd.Process.Signal(signal)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
		return nil
	case <-timer.C:
		cmd.Process.Kill()
		<-ended
		return &GatewayError{p.name, &StopTimeoutError{Signal: signal, Timeout: timeout}}
	}
}

// setPaused stops the process by SIGSTOP, or continues it.
func (p *process) setPaused(paused bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return &GatewayError{p.name, ErrNotRunning}
	}
	signal := syscall.SIGCONT
	if paused {
		signal = syscall.SIGSTOP
	}
	p.paused = paused
	p.running = !paused
	return p.cmd.Process.Signal(signal)
}

func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

func (p *process) isServing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running && p.ready
}

func (p *process) startCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

func (p *process) crashError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crash
}

// report requests the gateway's membership report at its admin socket.
func (p *process) report(ctx context.Context) (*membership.Report, error) {
	response, err := admin.Send(ctx, p.socket(), admin.Request{Command: "fleet"})
	if err != nil {
		return nil, err
	}
	if response.Fleet == nil {
		return nil, &AdminError{Text: response.Error}
	}
	return response.Fleet, nil
}

// socket is the path of the admin socket, short because of the kernel's limit.
func (p *process) socket() string { return filepath.Join(p.dir, "s") }

// memberDir is where the gateway keeps its members, in scenarios where it does.
func (p *process) memberDir() string { return filepath.Join(p.dir, "kept") }
