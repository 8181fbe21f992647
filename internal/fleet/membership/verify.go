package membership

import (
	"log/slog"
	"net"
	"net/netip"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/fleet/view"
)

// verifyPings is how many consecutive pings must stay unanswered for a
// verification to fail. One is not enough, because a datagram may be lost.
const verifyPings = 2

// startDueVerification starts the verification of a member that is due for one,
// unless a verification is in progress. The gateways on the same side of a network
// partition find the same members due, so each gateway picks one of them at random.
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

// verify pings a member directly and records the answer, or its absence, as evidence.
func (f *Fleet) verify(detector *memberlist.Memberlist, member view.ID) {
	defer func() {
		f.mu.Lock()
		f.verifying = false
		f.mu.Unlock()
	}()
	addr, err := netip.ParseAddrPort(member.Addr)
	if err != nil {
		return // this gateway cannot have learned of a member at such an address
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

// recordUnverified records that a member did not answer a verification. It logs the detector's health score, which is
// the number of probe intervals by which the detector lengthens its own probes.
func (f *Fleet) recordUnverified(name string, healthScore int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.queueLog(slog.LevelDebug, "fleet_member_unverified", "name", name, "health", healthScore)
	f.recordChanges(f.view.RecordFailedProbe(name, f.self.Name, now, now))
}
