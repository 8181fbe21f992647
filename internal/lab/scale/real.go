package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logfmt/logfmt"
)

// realGateway is a process of the gateway's program. It runs beside the hollow gateways and has a watch on the same
// stand-in.
type realGateway struct {
	cmd   *exec.Cmd
	log   *os.File
	ended chan error // receives the result of waiting for the process
}

const (
	realMemoryMB    = 192 // configured memory limit, as in package internal/lab/fleet
	realStopTimeout = 15 * time.Second
)

// freeAddress returns a gateway's address 127.66.x.y with a port that is free there, so that measurements can run
// side by side.
func freeAddress(i int) (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.66.%d.%d:0", i>>8, i&255))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// startReal writes a gateway's configuration into a folder and starts the gateway, which gets a listen address of its
// own.
func startReal(program, dir string, i int, watch string, known, settings json.RawMessage) (*realGateway, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	addr, err := freeAddress(i)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": fmt.Sprintf("g%04d", i), "listen": addr,
		"seed": fmt.Sprintf("%x", i+1), "limits": map[string]any{"cores": 1, "memory_mb": realMemoryMB, "sockets": 1024}, "bulletin": watch, "known": known,
		"settings": settings})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	r := &realGateway{ended: make(chan error, 1)}
	if r.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		return nil, err
	}
	r.cmd = exec.Command(program)
	r.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME=", "ROUTER_LISTEN=", "FOLDSLIP_SETTINGS=")
	r.cmd.Stderr = r.log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := r.cmd.Start(); err != nil {
		r.log.Close()
		return nil, err
	}
	go func() { r.ended <- r.cmd.Wait() }()
	return r, nil
}

// watchResult reads the log of a gateway that has ended. It returns the number of the last event that the gateway
// received, and how often its watch ended before the gateway was stopped.
func (r *realGateway) watchResult() (last int64, ends int, err error) {
	file, err := os.Open(r.log.Name())
	if err != nil {
		return 0, 0, err
	}
	defer file.Close()
	d := logfmt.NewDecoder(file)
	for d.ScanRecord() {
		f := map[string]string{}
		for d.ScanKeyval() {
			f[string(d.Key())] = string(d.Value())
		}
		if f["event"] != "discovery_closed" {
			continue
		}
		if last, err = strconv.ParseInt(f["last"], 10, 64); err != nil {
			return 0, 0, err
		}
		if f["reason"] != "stopping" {
			ends++
		}
	}
	return last, ends, d.Err()
}

// stop sends SIGTERM and waits for the process to end. If it does not end within realStopTimeout, stop kills it and
// returns a *StopTimeoutError.
func (r *realGateway) stop() error {
	defer r.log.Close()
	r.cmd.Process.Signal(syscall.SIGTERM)
	killTimer := time.NewTimer(realStopTimeout)
	defer killTimer.Stop()
	select {
	case err := <-r.ended:
		return err
	case <-killTimer.C:
		r.cmd.Process.Kill()
		<-r.ended
		return &StopTimeoutError{r.cmd.Path}
	}
}
