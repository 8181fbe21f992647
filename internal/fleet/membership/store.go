package membership

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"foldslip/internal/env"
	"foldslip/internal/fleet/view"
	"foldslip/internal/store/wal"
)

// MemberStore keeps the known members of the fleet on disk (package wal). A gateway that restarts can then find the
// fleet even if no seed answers, and it knows how large the fleet was. Member states are not stored, because they
// come only from the detector and from the members themselves.
//
// Save must not be called concurrently.
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

// ForeignStoreError reports that the stored members have another format or were saved by a gateway with another name.
type ForeignStoreError struct {
	Format int
	Self   string // name of the gateway that saved the members
}

// Error returns a message with the format and the name of the gateway that saved the members.
func (e *ForeignStoreError) Error() string {
	return fmt.Sprintf("stored members do not match this gateway and are ignored: format %d, saved by gateway %q", e.Format, e.Self)
}

// OpenMemberStore opens the member store of the gateway self in a directory, which belongs to the store until Close.
// It loads at most maxMembers-1 other members. It does not fail if the stored members cannot be used. The store then
// knows no members, and LoadError returns the reason.
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
		return nil, fmt.Errorf("decoding stored members: %w", err)
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

// LoadError returns the reason why the stored members are not used. It
// returns nil if they are used or if none were stored.
func (s *MemberStore) LoadError() error { return s.loadError }

// Known returns the members passed to the last Save, or the loaded members if Save has not been called.
func (s *MemberStore) Known() []view.ID { return s.known }

// Save writes the known members to disk and replaces the members saved before.
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

// Close closes the store and releases its directory.
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

// saveMembers saves the other members of the view that have not left, if the view changed since the last save.
func (f *Fleet) saveMembers(now int64) {
	if f.deps.Store == nil || f.detector == nil || now-f.savedAt < saveInterval.Microseconds() {
		return
	}
	f.mu.Lock()
	version := f.view.Version()
	if version == f.savedVersion { // the usual case, in which the members are not copied
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
