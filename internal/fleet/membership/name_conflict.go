package membership

import (
	"log/slog"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/fleet/rejoin"
	"foldslip/internal/fleet/view"
)

// resolveNameConflict settles which of two processes that claim this gateway's name goes on under it. The one that started first
// contacts the other, which learns of it and defers: it stops its detector and starts it again after a backoff.
func (f *Fleet) resolveNameConflict(now int64) {
	f.mu.Lock()
	other := f.claimant
	f.claimant = claimant{}
	reclaim := f.scheduler.ReclaimName(now)
	defers := rejoin.ShouldDefer(f.self.Incarnation, other.incarnation)
	switch {
	case other.addr == "" || f.contacting && !defers:
		f.mu.Unlock()
		if reclaim {
			f.retryStart(now)
		}
	case defers:
		detector, hasLivePeers := f.deferName(other, now)
		f.mu.Unlock()
		f.stopDeferred(detector, hasLivePeers, now)
	default:
		f.startContact(rejoin.Contact{Addr: other.addr, Reason: rejoin.ReasonConflict})
		f.mu.Unlock()
	}
}

// deferName leaves the name to the other process until it is tried again. It returns the detector to stop, nil if none runs, and
// whether this gateway knows live members; mu is held.
func (f *Fleet) deferName(other claimant, now int64) (detector *memberlist.Memberlist, hasLivePeers bool) {
	f.counts.NameDeferrals++
	wait := f.scheduler.DeferName(now)
	f.queueLog(slog.LevelError, "fleet_name_deferred", "name", f.self.Name, "to", other.addr, "retry_ms", wait/1000,
		"remedy", "another gateway has this name: give each its own ROUTER_NAME")
	detector = f.detector
	f.detector = nil
	f.sender = nil
	return detector, f.view.LiveCount() > 1
}

// stopDeferred stops the detector of a gateway that deferred its name, and begins a view of nobody but the known members.
func (f *Fleet) stopDeferred(detector *memberlist.Memberlist, hasLivePeers bool, now int64) {
	if detector == nil {
		return
	}
	if hasLivePeers { // the fleet knows this process by the name and has to learn that the name is free
		detector.Leave(leaveTimeout)
	}
	detector.Shutdown()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = view.New(f.self, f.viewSettings(), now)
	f.loadKnownMembers(now)
	f.cachedPeersVersion = 0
	f.savedVersion = 0
}

// retryStart starts the detector again under a name that was taken.
func (f *Fleet) retryStart(now int64) {
	err := f.startDetector()
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := f.scheduler.DeferName(now)
	f.queueLog(slog.LevelWarn, "fleet_start_failed", "text", err.Error(), "retry_ms", wait/1000)
}
