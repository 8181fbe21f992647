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

// Shelf keeps on disk who was known (store/record), so that a gateway that restarts finds the fleet again where no seed answers,
// and knows how large the fleet was. It keeps no state: what another gateway is, only it and the detector say.
type Shelf struct {
	record *wal.Record
	self   string
	known  []view.ID
}

const (
	shelfName = "fleet"
	shelfForm = 1
)

type shelved struct {
	Form    int    `cbor:"1,keyasint"`
	Self    string `cbor:"2,keyasint"`
	Members []row  `cbor:"3,keyasint"`
}

type row struct {
	Name  string `cbor:"1,keyasint"`
	Addr  string `cbor:"2,keyasint"`
	Stamp uint64 `cbor:"3,keyasint"`
}

// OpenShelf opens what is kept in a folder for a gateway's name. What cannot be read is told in why, and none is known.
func OpenShelf(disk env.Disk, self string, most int) (s *Shelf, why, err error) {
	r, kept, err := wal.Open(disk, shelfName)
	if err != nil {
		return nil, nil, err
	}
	s = &Shelf{record: r, self: self}
	if kept.Snapshot == nil {
		return s, nil, nil
	}
	var was shelved
	if err := cbor.Unmarshal(kept.Snapshot, &was); err != nil {
		return s, fmt.Errorf("the list of gateways cannot be read: %w", err), nil
	}
	if was.Form != shelfForm || was.Self != self {
		return s, fmt.Errorf("the list of gateways is of form %d for %q; it is not used", was.Form, was.Self), nil
	}
	for _, m := range was.Members {
		if _, err := netip.ParseAddrPort(m.Addr); err == nil && m.Name != "" && m.Name != self && len(s.known) < most-1 {
			s.known = append(s.known, view.ID{Name: m.Name, Addr: m.Addr, Stamp: m.Stamp})
		}
	}
	return s, nil, nil
}

// Known is who was known at the last write, or at the opening.
func (s *Shelf) Known() []view.ID { return s.known }

// Keep writes who is known now.
func (s *Shelf) Keep(ids []view.ID) error {
	was := shelved{Form: shelfForm, Self: s.self}
	s.known = ids
	for _, id := range ids {
		was.Members = append(was.Members, row{id.Name, id.Addr, id.Stamp})
	}
	text, err := cbor.Marshal(was)
	if err != nil {
		return err
	}
	return s.record.Begin(text)
}

// Close gives the folder back.
func (s *Shelf) Close() error { return s.record.Close() }

const mostSeeds = 4096

// ReadSeeds reads a file of seeds: an IP and a port a line, # begins a remark. bad is the first line that is none; the others
// are given all the same.
func ReadSeeds(text string) (seeds []string, bad string) {
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
		case len(seeds) == mostSeeds:
			return seeds, fmt.Sprintf("line %d: more than %d seeds; the rest is not used", n, mostSeeds)
		default:
			seeds = append(seeds, at.String())
		}
	}
	return seeds, bad
}
