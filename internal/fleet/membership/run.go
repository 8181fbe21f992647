package membership

import (
	"fmt"
	"log"
	"log/slog"
	"time"

	"github.com/hashicorp/memberlist"
)

// Run takes part in the fleet until stop is closed, then leaves it. An error is one of the first start; later starts, under a name
// that was taken, are tried again.
func (f *Fleet) Run(stop <-chan struct{}) error {
	if err := f.startDetector(); err != nil {
		return err
	}
	defer f.leaveAndStop()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			f.flushLog()
			return nil
		case <-f.logQueued:
			f.flushLog()
		case <-ticker.C:
			f.step()
			f.flushLog()
		}
	}
}

// startDetector starts the detector. With n members a death is known after some probe intervals and a suspicion of 4 log10(n)
// intervals (SWIM; Lifeguard's upper bound is six times that while nobody else confirms it).
func (f *Fleet) startDetector() error {
	transport, err := f.deps.OpenTransport()
	if err != nil {
		return err
	}
	detector, err := memberlist.Create(f.detectorConfig(transport))
	if err != nil {
		transport.Shutdown()
		return fmt.Errorf("fleet: %w", err)
	}
	f.detector = detector
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sender = detector
	f.queueLog(slog.LevelInfo, "fleet_started", "name", f.self.Name, "addr", f.self.Addr, "stamp", f.self.Incarnation)
	return nil
}

func (f *Fleet) detectorConfig(transport memberlist.Transport) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = f.settings.Name
	c.Label = f.settings.Label
	c.SecretKey = f.settings.Key
	c.Transport = transport
	c.ProbeInterval = f.settings.ProbeInterval
	c.ProbeTimeout = f.settings.ProbeTimeout
	c.GossipInterval = f.settings.GossipInterval
	c.TCPTimeout = joinTimeout
	c.DelegateProtocolMin = ProtocolVersion
	c.DelegateProtocolMax = ProtocolVersion
	c.DelegateProtocolVersion = ProtocolVersion
	// The name of a dead process may come back at another address at once. One that lives is never taken over (NotifyConflict).
	c.DeadNodeReclaimTime = time.Millisecond
	c.RequireNodeNames = false
	c.Delegate = f
	c.Events = f
	c.Ping = f
	c.Alive = f
	c.Conflict = f
	f.detectorLog.fleet = f
	c.Logger = log.New(&f.detectorLog, "", 0)
	return c
}

// leaveAndStop leaves the fleet and stops the detector. The metadata and a leave notice say first that this gateway leaves: the detector
// reports to peers that a member is gone, but not their delegates whether it went by its own will.
func (f *Fleet) leaveAndStop() {
	if f.deps.Store != nil {
		defer f.deps.Store.Close()
	}
	if f.detector == nil { // another process has the name
		return
	}
	f.mu.Lock()
	f.leaving = true
	f.recordLeaving(f.self.Name, f.self.Incarnation, f.now())
	live := f.view.LiveCount()
	f.mu.Unlock()
	if live > 1 {
		f.detector.UpdateNode(leaveTimeout)       // returns once the metadata was gossiped as often as anything is
		time.Sleep(2 * f.settings.GossipInterval) // the leave replaces the metadata in the queues of others
		f.detector.Leave(leaveTimeout)
	}
	f.mu.Lock()
	f.sender = nil
	f.mu.Unlock()
	f.detector.Shutdown()
	f.detector = nil
	f.deps.Log.Info("fleet_left", "name", f.self.Name)
}

// step moves time on: it advances the view, asks suspects to refute, and does what is due of contacts and writes.
func (f *Fleet) step() {
	now := f.now()
	f.mu.Lock()
	f.detectPause(now)
	f.expirePendingDepartures(now)
	f.advanceView(now)
	suspects := f.view.DueRefuteRequests(now)
	refute := f.takeRefuteRequest(now)
	f.mu.Unlock()
	for _, name := range suspects {
		f.Send(name, []byte{refuteRequestKind}) // one that is lost is sent again, up to the view's bound
	}
	if refute {
		go f.detector.UpdateNode(joinTimeout)
	}
	f.startDueVerification(now)
	f.resolveNameConflict(now)
	f.startDueContact(now)
	f.saveMembers(now)
}

// detectPause notes that the process did not run for a while; mu is held.
func (f *Fleet) detectPause(now int64) {
	gap := now - f.lastStepAt
	f.lastStepAt = now
	if gap <= pauseThreshold.Microseconds() {
		return
	}
	f.counts.Pauses++
	f.view.MarkPaused(now)
	f.scheduler.MarkResumed()
	f.queueLog(slog.LevelWarn, "fleet_process_paused", "ms", gap/1000)
}

// advanceView moves the view's time on and logs what came of it; mu is held.
func (f *Fleet) advanceView(now int64) {
	tick := f.view.Tick(now)
	for _, name := range tick.Reaped {
		f.queueLog(slog.LevelInfo, "fleet_member", "name", name, "state", "forgotten")
	}
	if !tick.HasSettled {
		return
	}
	f.counts.Settled++
	f.settleTimes.RecordValue(max(1, tick.SettleTime/1000))
	alive, size := f.view.Size()
	f.queueLog(slog.LevelInfo, "fleet_settled", "live", f.view.LiveCount(), "seen", alive, "fleet", size, "minority", f.view.InMinority(),
		"digest", fmt.Sprintf("%08x", f.view.Digest()), "version", f.view.Version(), "took_ms", tick.SettleTime/1000)
}

// takeRefuteRequest reports whether this gateway is to refute a suspicion now, as a peer asked for; mu is held.
func (f *Fleet) takeRefuteRequest(now int64) bool {
	if !f.refuteRequested || f.leaving || f.detector == nil || now-f.refutedAt < refuteInterval.Microseconds() {
		return false
	}
	f.refuteRequested = false
	f.refutedAt = now
	return true
}
