package clients

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"foldslip/example/standin"
)

const (
	readyTimeout   = 10 * time.Second
	sampleInterval = 5 * time.Millisecond
	bytesPerKB     = 1 << 10
	bytesPerMB     = 1 << 20
)

// errNotReady is returned for a gateway that does not answer pings within readyTimeout.
var errNotReady = errors.New("the gateway is not ready")

// gateway is a running gateway process.
type gateway struct {
	addr          string // of the HTTP server
	processorAddr string // of the external processor; "": it runs none
	configPath    string
	cmd           *exec.Cmd
	ended         chan struct{} // closed when the process has ended

	mu       sync.Mutex
	peakRSS  int64 // bytes
	peakAnon int64 // bytes
	exit     error
}

// platformSettings holds the object kinds of the plays: segment is idempotent, order has side effects and runs at the
// origin. Times are in microseconds.
const platformSettings = `{"areas":["town","hub"],"az":0,"balancers":1,"discovery":"push","weights":"off",
"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":true,"connect_timeout":400000,"keepalive":30000000,
"max_retry_after":2000000,"max_streams":100,"retry_after":true,"second_copies":true,"try_limit":6},
"rules":{"cold":13000000,"cold_from":0.16,"fall":1000000,"fall_multiple":3.0,"stop_sending_within":2000000},
"classes":[{"name":"segment","aim":400000,"aim_stretch":1.6,"deadline":5000000,"effect":"idempotent","late_worth":0.15,"points":2.0},
{"name":"order","aim":400000,"aim_stretch":1.6,"deadline":5000000,"effect":"at_most_once","late_worth":0.15,"points":2.0}],
"specifics":{"cleared_within":6000000,"flow_kb_per_s":480000.0,"grace_for":[0,0],"max_age":[0,0],"merges_fills":true,"obey_after":300000,
"origin_fall":3000000,"parent_breaks_at":2.0,"parent_kind":1,"parent_ramp":21000000,"parent_starts_at":0.064,"pass_on":[false,true],
"seats_by_zone":[1,0],"source_kind":2,"tells":"all","worth_when_old":[0.7,0.7]}}`

// lookupTable is the operators' table of the external processor.
const lookupTable = `{ external_processor: { listen: '%s', table: [{ path: '/call/{kind}/{object}/part-{part}', kind: 'path:kind',
object: 'path:object', part: 'path:part', group: 'header:x-group', kb: 'header:x-ram-kb', id: 'header:x-job-id', allow_ms: 'header:x-allow-ms' }] } }`

// startGateway starts a gateway whose files are in dir, and waits until it is ready.
func startGateway(options Options, dir string, endpoints []standin.Endpoint, discovery string) (*gateway, error) {
	g := &gateway{addr: freeAddr(), ended: make(chan struct{})}
	list := standin.EndpointList(true, endpoints...)
	config := map[string]any{
		"name": "n1", "listen": g.addr, "seed": fmt.Sprintf("%x", options.Seed),
		"limits":   map[string]any{"cores": 1, "memory_mb": options.MemoryMB, "sockets": 1024},
		"bulletin": discovery,
		"known":    map[string]any{"no": 1, "items": []any{json.RawMessage(`{"no":1,` + list[1:])}},
		"settings": json.RawMessage(platformSettings),
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(dir, "config.json")
	if err := os.WriteFile(configPath, text, 0o600); err != nil {
		return nil, err
	}
	g.configPath = configPath
	arguments := []string{"serve"}
	environment := append(os.Environ(), "ROUTER_CONFIG="+configPath, "ROUTER_NAME=n1", "ROUTER_LISTEN=")
	if options.Processor {
		g.processorAddr = freeAddr()
		settingsPath := filepath.Join(dir, "settings.jsonnet")
		if err := os.WriteFile(settingsPath, fmt.Appendf(nil, lookupTable, g.processorAddr), 0o600); err != nil {
			return nil, err
		}
		arguments = append(arguments, "--doors", "--settings", settingsPath)
	}
	log, err := os.Create(filepath.Join(dir, "gateway.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	g.cmd = exec.Command(options.Program, arguments...)
	g.cmd.Env, g.cmd.Stdout, g.cmd.Stderr = environment, log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go g.wait()
	if err := g.waitReady(); err != nil {
		return g, err
	}
	go g.sampleMemory() // not before: until it runs its program, the new process has the memory of this one
	return g, nil
}

func (g *gateway) wait() {
	err := g.cmd.Wait()
	g.mu.Lock()
	g.exit = err
	g.mu.Unlock()
	close(g.ended)
}

// waitReady waits until the gateway answers a ping with 200 and, if it runs an external processor, accepts its callers.
func (g *gateway) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(sampleInterval) {
		if !g.answersPing() {
			continue
		}
		if g.processorAddr == "" {
			return nil
		}
		if conn, err := net.Dial("tcp", g.processorAddr); err == nil {
			return conn.Close()
		}
	}
	return errNotReady
}

func (g *gateway) answersPing() bool {
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "GET /ping HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	status := make([]byte, len("HTTP/1.1 200"))
	conn.Read(status)
	return string(status) == "HTTP/1.1 200"
}

// sampleMemory records the resident memory of the process until it ends.
func (g *gateway) sampleMemory() {
	path := fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid)
	for {
		if text, err := os.ReadFile(path); err == nil {
			g.mu.Lock()
			g.peakRSS = max(g.peakRSS, statusBytes(string(text), "VmHWM:"))
			g.peakAnon = max(g.peakAnon, statusBytes(string(text), "RssAnon:"))
			g.mu.Unlock()
		}
		select {
		case <-g.ended:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// statusBytes returns a field of /proc/PID/status in bytes.
func statusBytes(text, field string) int64 {
	_, rest, _ := strings.Cut(text, field)
	words := strings.Fields(rest)
	if len(words) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(words[0], 10, 64)
	return kilobytes * bytesPerKB
}

// moveDiscovery replaces the address of discovery in the gateway's configuration and makes it read the file again.
func (g *gateway) moveDiscovery(from, to string) error {
	text, err := os.ReadFile(g.configPath)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.configPath, bytes.ReplaceAll(text, []byte(from), []byte(to)), 0o600); err != nil {
		return err
	}
	return g.cmd.Process.Signal(syscall.SIGHUP)
}

// stop kills the process and waits for its end.
func (g *gateway) stop() {
	g.cmd.Process.Kill()
	<-g.ended
}

// hasEnded reports whether the process has ended.
func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// freeAddr returns a free address on loopback.
func freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
