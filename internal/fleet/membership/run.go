package membership

import (
	"fmt"
	"log"
	"log/slog"
	"time"

	"github.com/hashicorp/memberlist"
)

// Run takes part in the fleet until stop is closed, then leaves it. It returns an error only if the first start of
// the detector fails. Later starts, which reclaim a deferred name, are retried.
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

// startDetector starts the detector. With n members, the detector declares a member dead
// after several probe intervals and a suspicion of 4 log10(n) probe intervals (SWIM). While
// no other member confirms the suspicion, it lasts up to six times as long (Lifeguard).
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
	// A process at another address may take the name of a dead process at once. The name of a live process is never
	// taken over: NotifyConflict records such claims.
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

// leaveAndStop leaves the fleet and stops the detector. Before that, it announces in the metadata and in a leave
// notice that this gateway leaves. The announcement is needed because the detector tells the delegates of peers that
// a member is gone, but not whether it left deliberately.
func (f *Fleet) leaveAndStop() {
	if f.deps.Store != nil {
		defer f.deps.Store.Close()
	}
	if f.detector == nil { // the name is deferred to another process
		return
	}
	f.mu.Lock()
	f.leaving = true
	f.recordLeaving(f.self.Name, f.self.Incarnation, f.now())
	live := f.view.LiveCount()
	f.mu.Unlock()
	if live > 1 {
		// UpdateNode returns once the metadata was gossiped as often as any other message, or after leaveTimeout.
		f.detector.UpdateNode(leaveTimeout)
		// Peers need time to pass the metadata on, because the leave message replaces it in their gossip queues.
		time.Sleep(2 * f.settings.GossipInterval)
		f.detector.Leave(leaveTimeout)
	}
	f.mu.Lock()
	f.sender = nil
	f.mu.Unlock()
	f.detector.Shutdown()
	f.detector = nil
	f.deps.Log.Info("fleet_left", "name", f.self.Name)
}

// step does the periodic work. It advances the view and asks members to refute suspicions that evidence has cleared.
// If a peer asked this gateway to refute a suspicion, it makes the detector do so. Then it starts the verification,
// resolves the name conflict, starts the contact and saves the members, as far as each is due.
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
		f.Send(name, []byte{refuteRequestKind}) // the view repeats the request up to its limit, because it may be lost
	}
	if refute {
		go f.detector.UpdateNode(joinTimeout)
	}
	f.startDueVerification(now)
	f.resolveNameConflict(now)
	f.startDueContact(now)
	f.saveMembers(now)
}

// detectPause detects that the process did not run for a while and reports
// the pause to the view and the scheduler. The caller must hold mu.
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

// advanceView advances the view to the given time and logs which members
// it forgot and whether it settled. The caller must hold mu.
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

// takeRefuteRequest reports whether this gateway must refute a suspicion now because
// a peer asked for it. If so, it clears the request. The caller must hold mu.
func (f *Fleet) takeRefuteRequest(now int64) bool {
	if !f.refuteRequested || f.leaving || f.detector == nil || now-f.refutedAt < refuteInterval.Microseconds() {
		return false
	}
	f.refuteRequested = false
	f.refutedAt = now
	return true
}
