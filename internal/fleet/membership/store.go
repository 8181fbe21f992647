package membership

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"foldslip/internal/env"
	"foldslip/internal/fleet/view"
	"foldslip/internal/store/wal"
)

// MemberStore keeps the known members of the fleet on disk (package wal), so that a gateway that restarts finds the fleet where no seed
// answers, and knows how large it was. It keeps no states: those come from the detector and from the members alone.
//
// Save is for one goroutine at a time.
type MemberStore struct {
	log       *wal.Log
	self      string
	known     []view.ID
	loadError error
}

const (
	storeName   = "fleet"
	storeFormat = 1
)

type storedMembers struct {
	Format  int            `cbor:"1,keyasint"`
	Self    string         `cbor:"2,keyasint"`
	Members []storedMember `cbor:"3,keyasint"`
}

type storedMember struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
}

// ForeignStoreError reports that the members on disk are of another format or were saved by a gateway of another name.
type ForeignStoreError struct {
	Format int
	Self   string // whose they are
}

// Error returns both.
func (e *ForeignStoreError) Error() string {
	return fmt.Sprintf("the list of gateways is of form %d for %q; it is not used", e.Format, e.Self)
}

// OpenMemberStore opens the members that a gateway keeps in a folder, which is its own until Close. It loads at most maxMembers-1
// others. Members that can't be used are no error: none is known then, and LoadError returns why.
func OpenMemberStore(directory env.Directory, self string, maxMembers int) (*MemberStore, error) {
	log, kept, err := wal.Open(directory, storeName)
	if err != nil {
		return nil, err
	}
	s := &MemberStore{log: log, self: self}
	if kept.Snapshot != nil {
		s.known, s.loadError = decodeMembers(kept.Snapshot, self, maxMembers-1)
	}
	return s, nil
}

func decodeMembers(snapshot []byte, self string, limit int) (known []view.ID, err error) {
	var stored storedMembers
	if err := cbor.Unmarshal(snapshot, &stored); err != nil {
		return nil, fmt.Errorf("the list of gateways cannot be read: %w", err)
	}
	if stored.Format != storeFormat || stored.Self != self {
		return nil, &ForeignStoreError{Format: stored.Format, Self: stored.Self}
	}
	for _, member := range stored.Members {
		_, err := netip.ParseAddrPort(member.Addr)
		if err != nil || member.Name == "" || member.Name == self || len(known) >= limit {
			continue
		}
		known = append(known, view.ID{Name: member.Name, Addr: member.Addr, Incarnation: member.Incarnation})
	}
	return known, nil
}

// LoadError returns why what was stored is not used; nil if it is, or if nothing was stored.
func (s *MemberStore) LoadError() error { return s.loadError }

// Known returns the members of the last Save, or else those that were loaded.
func (s *MemberStore) Known() []view.ID { return s.known }

// Save writes the known members to disk, in place of those before.
func (s *MemberStore) Save(members []view.ID) error {
	s.known = members
	stored := storedMembers{Format: storeFormat, Self: s.self}
	for _, id := range members {
		stored.Members = append(stored.Members, storedMember{id.Name, id.Addr, id.Incarnation})
	}
	snapshot, err := cbor.Marshal(stored)
	if err != nil {
		return err
	}
	return s.log.WriteSnapshot(snapshot)
}

// Close gives the folder back.
func (s *MemberStore) Close() error { return s.log.Close() }

// loadKnownMembers adds the stored members to the view.
func (f *Fleet) loadKnownMembers(now int64) {
	if f.deps.Store == nil {
		return
	}
	for _, id := range f.deps.Store.Known() {
		f.view.AddKnown(id, now)
	}
}

// saveMembers saves the view's members that did not leave, if the view changed since the last time.
func (f *Fleet) saveMembers(now int64) {
	if f.deps.Store == nil || f.detector == nil || now-f.savedAt < saveInterval.Microseconds() {
		return
	}
	f.mu.Lock()
	version := f.view.Version()
	if version == f.savedVersion { // the usual case: nothing is copied for it
		f.mu.Unlock()
		return
	}
	members := f.view.Members()
	f.mu.Unlock()
	f.savedVersion = version
	f.savedAt = now
	var ids []view.ID
	for _, member := range members {
		if member.State != view.Left && member.Name != f.self.Name {
			ids = append(ids, member.ID)
		}
	}
	if err := f.deps.Store.Save(ids); err != nil {
		f.deps.Log.Warn("fleet_members_not_saved", "text", err.Error())
	}
}
