package clients

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"foldslip/client"
)

// Options are the settings of a run.
type Options struct {
	Program   string // path of the gateway's program
	Processor bool   // play at the external processor instead of the HTTP server
	MemoryMB  int    // memory limit of the gateway
	Duration  time.Duration
	Seed      uint64
}

const (
	// soundAttemptTime is the time that an attempt of a sound caller of the external processor takes.
	soundAttemptTime = 20 * time.Millisecond

	maxSoundP99 = 400 * time.Millisecond // the latency objective of the object kind
)

// Report is the result of a run.
type Report struct {
	Play       string        `json:"play"`
	Front      string        `json:"front"`
	MemoryMB   int           `json:"memory_mb"`
	Seconds    float64       `json:"seconds"`
	Clients    int           `json:"clients"` // connections of the play
	Sent       int64         `json:"sent"`    // requests or messages of the play
	Sound      SoundCounts   `json:"sound"`
	P99        time.Duration `json:"p99_ns"` // of the sound lookups that were answered
	Latest     time.Duration `json:"latest_ns"`
	PeakRSS    int64         `json:"peak_rss"`             // bytes
	PeakAnon   int64         `json:"peak_anon"`            // bytes
	Duplicates int           `json:"duplicates"`           // lookups with side effects that ran twice, or after their client had left
	ListBytes  int           `json:"list_bytes,omitempty"` // written by a slow discovery service
	Violations []string      `json:"violations"`
	IsSlow     bool          `json:"slow"` // the p99 is over its bound
}

// play is one way in which clients misuse or leave a gateway.
type play struct {
	name      string
	help      string
	picture   string // the operators' picture that it plays, a to d
	processor bool   // it is played at the external processor only; otherwise at the HTTP server only
	caches    CacheBehavior
	run       func(*stage)
	attempt   attemptFunc // of sound callers of the external processor; nil: it succeeds after soundAttemptTime
	ends      bool        // the play ends the gateway's process in good order
	isSlow    bool        // discovery is slow as the seed draws it; the play takes as long as it needs at least
}

// stage is what a play acts on.
type stage struct {
	ctx      context.Context // ends with the play
	gateway  *gateway
	caches   *caches
	relay    *slowRelay // between the gateway and a slow discovery service; nil: discovery is not slow
	random   *rand.Rand
	duration time.Duration
	report   *Report
	endSound context.CancelFunc // ends the sound load before the play
}

// Play is the name of a play and what it does.
type Play struct {
	Name, Help, Picture string
	Processor           bool
	IsSlow              bool // it takes over ten seconds, and its seed draws what happens
}

// Plays returns all plays.
func Plays() (all []Play) {
	for _, p := range plays {
		all = append(all, Play{p.name, p.help, p.picture, p.processor, p.isSlow})
	}
	return all
}

// Run runs a play and returns its report. The error says why the play could not run.
func Run(name string, options Options) (*Report, error) {
	index := slices.IndexFunc(plays, func(p play) bool { return p.name == name })
	if index < 0 {
		return nil, fmt.Errorf("play %q: there is no such play", name)
	}
	p := plays[index]
	options.Processor = p.processor
	dir, err := os.MkdirTemp("", "foldslip-clients")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	servers, err := startCaches(p.caches)
	defer servers.close()
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(options.Seed, 2))
	discoveryAddr := servers.discovery.Addr
	var relay *slowRelay
	if p.isSlow {
		plan := drawSlowPlan(random)
		options.Duration = max(options.Duration, plan.duration())
		if relay, err = newSlowRelay(discoveryAddr, plan); err != nil {
			return nil, err
		}
		defer relay.close()
		discoveryAddr = relay.addrs[0]
	}
	g, err := startGateway(options, dir, servers.endpoints, discoveryAddr)
	if g != nil && g.cmd.Process != nil {
		defer g.stop()
	}
	if err != nil {
		return nil, err
	}
	report := &Report{Play: name, Front: front(options.Processor), MemoryMB: options.MemoryMB, Seconds: options.Duration.Seconds()}
	ctx, cancel := context.WithTimeout(context.Background(), options.Duration)
	defer cancel()
	soundCtx, endSound := context.WithCancel(ctx)
	defer endSound()
	sound := newSoundLoad(options.Seed)
	soundEnded := make(chan struct{})
	go func() {
		defer close(soundEnded)
		if !options.Processor {
			sound.run(soundCtx, func() (lookFunc, func(), error) { return newHTTPLook(g.addr) })
			return
		}
		look, stop, err := newProcessorLook(g.processorAddr, soundAddr, p.soundAttempt()) // one caller with one connection
		if err == nil {
			defer stop()
		}
		sound.run(soundCtx, func() (lookFunc, func(), error) { return look, func() {}, err })
	}()
	p.run(&stage{ctx: ctx, gateway: g, caches: servers, relay: relay, random: random, duration: options.Duration, report: report,
		endSound: endSound})
	<-soundEnded
	report.finish(g, sound, p)
	return report, nil
}

func front(processor bool) string {
	if processor {
		return "processor"
	}
	return "gateway"
}

// soundAttempt returns how the attempts of sound callers end.
func (p *play) soundAttempt() attemptFunc {
	if p.attempt != nil {
		return p.attempt
	}
	return func() string {
		time.Sleep(soundAttemptTime)
		return client.WordHit
	}
}

// finish fills in what was measured and judges it.
func (r *Report) finish(g *gateway, sound *soundLoad, p play) {
	r.Sound = sound.counts
	r.P99 = time.Duration(sound.latencies.ValueAtQuantile(99)) * time.Microsecond
	r.Latest = time.Duration(sound.latencies.Max()) * time.Microsecond
	g.mu.Lock()
	r.PeakRSS, r.PeakAnon = g.peakRSS, g.peakAnon
	g.mu.Unlock()
	if g.hasEnded() != p.ends || g.hasEnded() && p.ends && g.exit != nil {
		r.violate("the gateway has ended: %v, %v", g.hasEnded(), g.exit)
	}
	if limit := int64(r.MemoryMB) * bytesPerMB; r.PeakRSS > limit {
		r.violate("%.1f MB resident, %d MB allowed", float64(r.PeakRSS)/bytesPerMB, r.MemoryMB)
	}
	if r.Sound.Lost > 0 {
		r.violate("%d of %d sound lookups lost", r.Sound.Lost, r.Sound.Sent)
	}
	if r.Duplicates > 0 {
		r.violate("%d lookups with side effects ran twice or after their client had left", r.Duplicates)
	}
	r.IsSlow = r.P99 > maxSoundP99+p.caches.ServedIn && !p.ends
}

func (r *Report) violate(format string, arguments ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, arguments...))
}
