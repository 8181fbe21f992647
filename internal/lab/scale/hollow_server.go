package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"runtime"
	"runtime/pprof"
	"sync/atomic"
	"time"
)

// RunHollowProcess executes the commands that it reads from in and writes the replies to out, until in ends. Then it
// stops all hollow gateways. It is foldslip-rig's hidden command.
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

// hollowServer runs the hollow gateways of this process. One goroutine owns it.
type hollowServer struct {
	environment  *Environment
	arrivals     *ArrivalLog
	gateways     map[int]*HollowGateway
	lastEvents   map[int]*atomic.Int64 // by gateway: position of the last event applied
	startCommand command               // the last "start" command
	locations    []Location
	profile      *os.File // file of the processor profile in progress; nil: none
}

// handle executes a command and fills in its reply.
func (c *hollowServer) handle(o *command, a *reply) error {
	switch o.Action {
	case "start":
		c.startCommand, c.locations, c.environment = *o, ScaledLayout(o.Gateways), NewEnvironment(NewSlowClock(o.Since, o.Stretch))
		for i := range o.Count {
			if err := c.start(o.First+i, o.Base, o.Known, o.Watch[i]); err != nil {
				return err
			}
		}
	case "halt":
		h := c.gateways[o.First]
		if h == nil {
			return &UnknownGatewayError{o.First}
		}
		return h.Stop()
	case "restart":
		if at := c.lastEvents[o.First]; at != nil { // the list that the gateway starts with covers the events published while it was down
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
		return &UnknownActionError{o.Action}
	}
	return nil
}

// start starts gateway i, whose event number 1 corresponds to position base.
func (c *hollowServer) start(i int, base int64, known json.RawMessage, watch string) (err error) {
	at := &atomic.Int64{}
	at.Store(base)
	c.lastEvents[i] = at
	c.gateways[i], err = StartHollowGateway(c.environment, HollowOptions{DiscoveryAddr: watch, Known: known, Settings: Settings(c.locations, i, c.startCommand.Zones), Seed: uint64(i) + 1,
		LookupsPerSecond: c.startCommand.Lookups, OnEvent: func(number int64) {
			at.Store(base + number - 1)
			c.arrivals.Record(base+number-1, c.environment.Now())
		}})
	return err
}

// stop stops all gateways and waits for their goroutines.
func (c *hollowServer) stop() error {
	var errs []error
	for _, h := range c.gateways { // end all before waiting for any
		h.lifetime.End()
	}
	for _, h := range c.gateways {
		errs = append(errs, h.Stop())
	}
	clear(c.gateways)
	return errors.Join(errs...)
}
