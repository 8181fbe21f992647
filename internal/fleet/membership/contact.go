package membership

import (
	"log/slog"
	"slices"

	"foldslip/internal/fleet/rejoin"
	"foldslip/internal/fleet/view"
)

// startDueContact starts the contact that the scheduler reports as due, if there is one. It starts none while another
// contact is in flight or while this gateway leaves the fleet.
func (f *Fleet) startDueContact(now int64) {
	if f.detector == nil {
		return
	}
	f.refreshSeeds(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.contacting || f.leaving {
		return
	}
	differing := func() []string { return f.view.DifferingAddrs(now) }
	if contact, ok := f.scheduler.Next(now, f.peers(), differing); ok {
		f.startContact(contact)
	}
}

// startContact starts an exchange of full states (memberlist's push/pull) with
// the gateway at contact.Addr, in a new goroutine. The caller must hold mu.
func (f *Fleet) startContact(contact rejoin.Contact) {
	f.contacting = true
	f.counts.Contacts++
	detector := f.detector
	versionBefore := f.view.Version()
	go func() {
		_, err := detector.Join([]string{contact.Addr})
		f.mu.Lock()
		defer f.mu.Unlock()
		f.contacting = false
		if err != nil {
			f.counts.FailedContacts++
			f.queueLog(slog.LevelDebug, "fleet_contact_failed", "addr", contact.Addr, "why", string(contact.Reason), "text", err.Error())
			return
		}
		level := slog.LevelDebug
		if f.view.Version() != versionBefore {
			level = slog.LevelInfo
		}
		f.queueLog(level, "fleet_contacted", "addr", contact.Addr, "why", string(contact.Reason))
	}()
}

// peers returns the scheduler's input, built from the view and the seeds. It rebuilds the cached input only after the
// view's version or the seeds changed. The caller must hold mu.
func (f *Fleet) peers() rejoin.Peers {
	if f.cachedPeersVersion == f.view.Version() && slices.Equal(f.cachedPeers.Seeds, f.seeds) {
		return f.cachedPeers
	}
	peers := rejoin.Peers{Self: f.self.Addr, Seeds: f.seeds}
	for _, member := range f.view.Members() {
		switch {
		case member.Name == f.self.Name || member.State == view.Left:
		case member.State.IsLive():
			peers.Live = append(peers.Live, member.Addr)
		default:
			peers.Lost = append(peers.Lost, rejoin.Lost{Addr: member.Addr, LostAt: member.Since, LastSeen: member.LastSeen})
		}
	}
	f.cachedPeers = peers
	f.cachedPeersVersion = f.view.Version()
	return peers
}
