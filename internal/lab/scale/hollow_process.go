package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const hollowStopTimeout = 20 * time.Second

// hollowProcess is a process of hollow gateways, as seen from the run that started it.
type hollowProcess struct {
	cmd          *exec.Cmd
	in           io.WriteCloser
	out          *bufio.Reader
	mu           sync.Mutex // held from a command to its reply
	first, count int        // the process runs the gateways first to first+count-1
}

// startHollowProcess starts a command whose process calls RunHollowProcess.
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

// call sends a command and waits for its reply.
func (c *hollowProcess) call(o command) (*reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := json.NewEncoder(c.in).Encode(o); err != nil {
		return nil, fmt.Errorf("sending command %q to a process of hollow gateways: %w", o.Action, err)
	}
	line, err := c.out.ReadBytes('\n')
	if err != nil {
		return nil, fmt.Errorf("reading the reply of a process of hollow gateways to command %q: %w", o.Action, err)
	}
	var a reply
	if err := json.Unmarshal(line, &a); err != nil {
		return nil, err
	}
	if a.Error != "" {
		return nil, &HollowReplyError{a.Error}
	}
	return &a, nil
}

// end closes the process's standard input and waits for the process to exit. It kills the process after
// hollowStopTimeout.
func (c *hollowProcess) end() error {
	c.in.Close()
	killTimer := time.AfterFunc(hollowStopTimeout, func() { c.cmd.Process.Kill() })
	defer killTimer.Stop()
	return c.cmd.Wait()
}
