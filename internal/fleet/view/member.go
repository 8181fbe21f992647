package view

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member.
type State int

// States of a member. Their text forms are part of reports.
const (
	NeverSeen State = iota // known from disk, not seen by this process
	Alive
	Suspect // alive by the detector, but a probe failed after the member was last seen
	Dead    // the detector gave it up
	Left    // it left by its own will
)

var stateNames = [...]string{"unheard", "alive", "suspect", "dead", "left"}

// String returns the text form.
func (s State) String() string { return stateNames[s] }

// MarshalText returns the text form.
func (s State) MarshalText() ([]byte, error) { return []byte(stateNames[s]), nil }

// UnmarshalText reads the text form; an unknown one is NeverSeen.
func (s *State) UnmarshalText(text []byte) error {
	*s = State(max(0, slices.Index(stateNames[:], string(text))))
	return nil
}

// IsLive reports whether a member of this state counts as there.
func (s State) IsLive() bool { return s == Alive || s == Suspect }

// ID is one process under a name. Its incarnation differs from that of any process before it under the name; of two processes the one
// of the lower incarnation started first.
type ID struct {
	Name        string
	Addr        string // IP and port
	Incarnation uint64
	Locality    Locality
}

// Locality is where a gateway stands, as its operators name it; all empty: not known. Nothing is decided by the names themselves, only
// by which gateways share them.
type Locality struct {
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Site   string `json:"site,omitempty"`
}

// NameKey returns the hash that stands for a gateway's name in frames. Two names of one fleet that share a key are refused (RefusalOf).
func NameKey(name string) uint64 { return xxhash.Sum64String(name) }

// maxEvidence is how many pieces of evidence are kept of a member.
const maxEvidence = 16

// Evidence is what a gateway reported of a member, kept to explain the member's state.
type Evidence struct {
	At   int64 // microseconds of this process's clock
	By   string
	What string
}

// Member is what the view holds of one gateway. Times are microseconds of this process's clock.
type Member struct {
	ID
	State         State
	Since         int64 // when it took the state
	LastSeen      int64 // newest proof that it runs
	LastSeenBy    string
	ProbeFailedAt int64 // newest failed probe
	ProbeFailedBy string
	Digest        uint32 // of the live set that it sees, by its own last frame to this gateway
	DigestAt      int64  // when that frame came
	Restarts      int    // new incarnations seen under the name
	Deaths        int
	FalseDeaths   int // deaths after which the same process came back

	clearedAt      int64 // when evidence cleared a suspicion that the detector may still hold; 0: none
	refuteRequests int   // times that it was asked to refute since
	leavingSince   int64 // when this gateway learnt that the process said that it leaves; 0: it did not
	evidence       []Evidence
}

// Evidence returns what was reported of the member, oldest first.
func (m Member) Evidence() []Evidence { return m.evidence }

// addEvidence keeps a piece of evidence; one that repeats the last one replaces it.
func (m *Member) addEvidence(now int64, by, what string) {
	if last := len(m.evidence) - 1; last >= 0 && m.evidence[last].By == by && m.evidence[last].What == what {
		m.evidence[last].At = now
		return
	}
	if len(m.evidence) == maxEvidence {
		m.evidence = slices.Delete(m.evidence, 0, 1)
	}
	m.evidence = append(m.evidence, Evidence{now, by, what})
}

// Reason is why a member's state changed. Its text is part of log lines and reports.
type Reason string

// Reasons of changes.
const (
	ReasonJoined      Reason = "joined"
	ReasonRestarted   Reason = "restarted"        // another process has the name
	ReasonCameBack    Reason = "came_back"        // the same process: its death was a false one, or the way to it was cut
	ReasonSeen        Reason = "heard"            // a peer saw it after the probe that failed
	ReasonProbeFailed Reason = "probe_failed"     // to the state Suspect
	ReasonUnseen      Reason = "no_proof_of_life" // to the state Dead
	ReasonLeft        Reason = "left"
)

// Change is one change of a member's state. Times are microseconds.
type Change struct {
	Name      string
	From, To  State
	IsNew     bool   // the view had no such member before
	By        string // whose word or evidence it follows
	Reason    Reason
	HeldFor   int64 // how long the member had the state before
	SilentFor int64 // since it was last seen
}

// Refusal is why a gateway is not taken into the view; "": it can be.
type Refusal string

// Refusals of the view.
const (
	Full     Refusal = "full"      // MaxMembers are held, all of them live
	KeyTaken Refusal = "key_taken" // the name has the NameKey of another member's
)
