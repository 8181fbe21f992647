package membership

import (
	"log/slog"
	"net"
	"net/netip"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/fleet/view"
)

// verifyPings is how many pings in a row must stay unanswered for a failed verification: a datagram may be lost.
const verifyPings = 2

// startDueVerification starts the verification of a member that is due for one, if none is under way. The gateways of a side know the same members to
// be due, so each chooses at random.
func (f *Fleet) startDueVerification(now int64) {
	if f.detector == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.verifying || f.leaving {
		return
	}
	due := f.view.DueVerifications(now)
	if len(due) == 0 {
		return
	}
	f.verifying = true
	go f.verify(f.detector, due[f.random.IntN(len(due))])
}

// verify asks a member directly whether it runs, and takes the answer, or that none came, as evidence.
func (f *Fleet) verify(detector *memberlist.Memberlist, member view.ID) {
	defer func() {
		f.mu.Lock()
		f.verifying = false
		f.mu.Unlock()
	}()
	addr, err := netip.ParseAddrPort(member.Addr)
	if err != nil {
		return // not an address that this gateway could have got it by
	}
	for range verifyPings {
		roundTrip, err := detector.Ping(member.Name, net.UDPAddrFromAddrPort(addr))
		if err == nil {
			f.recordAck(member.Name, roundTrip)
			return
		}
	}
	f.recordUnverified(member.Name, detector.GetHealthScore())
}

// recordUnverified takes that a member did not answer. The log has the detector's health score: its probes are slower by that many probe
// intervals.
func (f *Fleet) recordUnverified(name string, healthScore int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.queueLog(slog.LevelDebug, "fleet_member_unverified", "name", name, "health", healthScore)
	f.recordChanges(f.view.RecordFailedProbe(name, f.self.Name, now, now))
}
