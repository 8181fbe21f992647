package membership

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"foldslip/internal/env"
	"foldslip/internal/fleet/view"
	"foldslip/internal/store/wal"
)

// MemberStore keeps on disk who was known (store/record), so that a gateway that restarts finds the fleet again where no seed answers,
// and knows how large the fleet was. It keeps no state: what another gateway is, only it and the detector say.
type MemberStore struct {
	log   *wal.Log
	self  string
	known []view.ID
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

// OpenMemberStore opens what is kept in a folder for a gateway's name. What cannot be read is told in why, and none is known.
func OpenMemberStore(disk env.Directory, self string, most int) (s *MemberStore, why, err error) {
	r, kept, err := wal.Open(disk, storeName)
	if err != nil {
		return nil, nil, err
	}
	s = &MemberStore{log: r, self: self}
	if kept.Snapshot == nil {
		return s, nil, nil
	}
	var was storedMembers
	if err := cbor.Unmarshal(kept.Snapshot, &was); err != nil {
		return s, fmt.Errorf("the list of gateways cannot be read: %w", err), nil
	}
	if was.Format != storeFormat || was.Self != self {
		return s, fmt.Errorf("the list of gateways is of form %d for %q; it is not used", was.Format, was.Self), nil
	}
	for _, m := range was.Members {
		if _, err := netip.ParseAddrPort(m.Addr); err == nil && m.Name != "" && m.Name != self && len(s.known) < most-1 {
			s.known = append(s.known, view.ID{Name: m.Name, Addr: m.Addr, Incarnation: m.Incarnation})
		}
	}
	return s, nil, nil
}

// Known is who was known at the last write, or at the opening.
func (s *MemberStore) Known() []view.ID { return s.known }

// Save writes who is known now.
func (s *MemberStore) Save(ids []view.ID) error {
	was := storedMembers{Format: storeFormat, Self: s.self}
	s.known = ids
	for _, id := range ids {
		was.Members = append(was.Members, storedMember{id.Name, id.Addr, id.Incarnation})
	}
	text, err := cbor.Marshal(was)
	if err != nil {
		return err
	}
	return s.log.WriteSnapshot(text)
}

// Close gives the folder back.
func (s *MemberStore) Close() error { return s.log.Close() }

const maxSeeds = 4096

// ParseSeeds reads a file of seeds: an IP and a port a line, # begins a remark. bad is the first line that is none; the others
// are given all the same.
func ParseSeeds(text string) (seeds []string, bad string) {
	n := 0
	for line := range strings.Lines(text) {
		n++
		line, _, _ = strings.Cut(line, "#")
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		at, err := netip.ParseAddrPort(line)
		switch {
		case err != nil || at.Port() == 0:
			if bad == "" {
				bad = fmt.Sprintf("line %d: %q is no address and port, as 10.0.0.4:7946", n, line)
			}
		case len(seeds) == maxSeeds:
			return seeds, fmt.Sprintf("line %d: more than %d seeds; the rest is not used", n, maxSeeds)
		default:
			seeds = append(seeds, at.String())
		}
	}
	return seeds, bad
}
