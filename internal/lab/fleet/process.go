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

// process is one gateway of the rig. It covers all starts of the
// gateway, of which each has its own operating system process.
type process struct {
	name      string
	dir       string // folder of its settings, log, admin socket and kept members
	program   string
	env       []string
	args      []string
	clients   string // address that clients connect to
	discovery string // address of its discovery server, which is a private listener of the relay
	rig       *Rig
	log       *os.File // written by followLog only

	mu         sync.Mutex    // guards the fields below
	cmd        *exec.Cmd     // nil: no process runs
	ended      chan struct{} // closed when cmd has exited
	running    bool          // a process runs and is not paused
	ready      bool          // the process has logged that it started; clients may connect
	paused     bool
	expectedUp bool       // an exit would be a crash
	stopped    bool       // SIGTERM was sent; the exit code must be 0
	crash      error      // the last crash; nil: none
	starts     int        // number of starts so far
	view       loggedView // according to its log
}

// start starts the gateway's process and follows its log until the process exits.
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

// follow reads the log of the process until the process exits, records the exit and closes ended.
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

// signalAndWait sends the process a signal that ends it and waits for its exit. After the timeout it kills the process
// and returns an error. It returns nil if no process runs.
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

// setPaused pauses the process with SIGSTOP or resumes it with SIGCONT.
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

// report requests the gateway's membership report on its admin socket.
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

// socket returns the path of the admin socket. The file name is short because the kernel limits the length of the path.
func (p *process) socket() string { return filepath.Join(p.dir, "s") }

// memberDir returns the folder in which the gateway keeps its members if Scenario.KeepMembers is set.
func (p *process) memberDir() string { return filepath.Join(p.dir, "kept") }
