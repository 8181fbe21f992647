package membership

import (
	"log/slog"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/fleet/rejoin"
	"foldslip/internal/fleet/view"
)

// resolveNameConflict decides which of two processes that claim this gateway's name keeps it. The process that
// started first keeps the name and contacts the other one, which learns of the conflict by that contact. The other
// process defers: it stops its detector and starts it again after a backoff.
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

// deferName gives up the name to the other process until the scheduler tries to reclaim it. It returns the
// detector to stop, nil if none runs, and whether the view has other live members. The caller must hold mu.
func (f *Fleet) deferName(other claimant, now int64) (detector *memberlist.Memberlist, hasLivePeers bool) {
	f.counts.NameDeferrals++
	wait := f.scheduler.DeferName(now)
	f.queueLog(slog.LevelError, "fleet_name_deferred", "name", f.self.Name, "to", other.addr, "retry_ms", wait/1000,
		"remedy", "another gateway has this name; set a unique ROUTER_NAME for each gateway")
	detector = f.detector
	f.detector = nil
	f.sender = nil
	return detector, f.view.LiveCount() > 1
}

// stopDeferred stops the detector of a gateway that deferred its name. It
// replaces the view by one that holds only this gateway and the stored members.
func (f *Fleet) stopDeferred(detector *memberlist.Memberlist, hasLivePeers bool, now int64) {
	if detector == nil {
		return
	}
	if hasLivePeers { // the fleet knows this process under the name and must learn that the name is free
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

// retryStart starts the detector again under the name that was deferred. If that fails, it defers the name again.
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
