package view

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member.
type State int

// States of a member. Their text forms appear in reports.
const (
	NeverSeen State = iota // loaded from disk and not reported by the detector since this process started
	Alive
	Suspect // alive according to the detector, but a probe failed after the member was last seen
	Dead    // declared dead by the detector
	Left    // left the fleet voluntarily
)

var stateNames = [...]string{"unheard", "alive", "suspect", "dead", "left"}

// String returns the text form of the state.
func (s State) String() string { return stateNames[s] }

// MarshalText returns the text form of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(stateNames[s]), nil }

// UnmarshalText sets the state from its text form. An unknown text sets NeverSeen.
func (s *State) UnmarshalText(text []byte) error {
	*s = State(max(0, slices.Index(stateNames[:], string(text))))
	return nil
}

// IsLive reports whether a member in this state belongs to the live set. Alive and suspect members do.
func (s State) IsLive() bool { return s == Alive || s == Suspect }

// ID identifies one process of a gateway. Each process that runs under a name has a different incarnation. Of two
// processes, the one with the lower incarnation started first.
type ID struct {
	Name        string
	Addr        string // IP address and port
	Incarnation uint64
	Locality    Locality
}

// Locality is the location of a gateway, in names that the operators choose. It is unknown if all fields are empty. The
// names themselves have no meaning; decisions depend only on which gateways share them.
type Locality struct {
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Site   string `json:"site,omitempty"`
}

// NameKey returns the hash that represents a gateway's name in frames. RefusalOf refuses a gateway whose name has the
// key of another member.
func NameKey(name string) uint64 { return xxhash.Sum64String(name) }

// maxEvidence is the maximum number of pieces of evidence that are kept for each member.
const maxEvidence = 16

// Evidence is one observation about a member. It is kept to explain the member's state to operators.
type Evidence struct {
	At   int64  // time of the report, in microseconds of this process's clock
	By   string // gateway that made the observation, or the address of a process that claims the name
	What string
}

// Member is the view's record of one gateway. Times are in microseconds of this process's clock.
type Member struct {
	ID
	State         State
	Since         int64  // time of the last change of State
	LastSeen      int64  // time of the newest proof that the gateway runs
	LastSeenBy    string // gateway that obtained this proof
	ProbeFailedAt int64  // time of the newest failed probe
	ProbeFailedBy string // gateway whose probe failed
	Digest        uint32 // digest of the gateway's own live set, from the last frame that it sent to this gateway
	DigestAt      int64  // time at which that frame arrived
	Restarts      int    // number of new incarnations seen under the name
	Deaths        int
	FalseDeaths   int // number of deaths after which the same process came back

	clearedAt      int64 // time at which evidence cleared a suspicion that the detector may still hold; 0 if none
	refuteRequests int   // number of requests since clearedAt to refute that suspicion
	leavingSince   int64 // time at which this gateway learned that the process announced its leave; 0 if it did not
	evidence       []Evidence
}

// Evidence returns the evidence for the member's state, oldest first.
func (m Member) Evidence() []Evidence { return m.evidence }

// addEvidence appends a piece of evidence. A repetition of the last one only updates its time. At maxEvidence, the
// oldest one is dropped.
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

// Reason is the reason for a change of a member's state. Its text appears in log lines and reports.
type Reason string

// Reasons for changes of a member's state.
const (
	ReasonJoined      Reason = "joined"
	ReasonRestarted   Reason = "restarted"        // a new process runs under the name
	ReasonCameBack    Reason = "came_back"        // the same process after a false death or a network cut
	ReasonSeen        Reason = "heard"            // suspicion cleared: a gateway saw the member after the failed probe
	ReasonProbeFailed Reason = "probe_failed"     // the member became suspect
	ReasonUnseen      Reason = "no_proof_of_life" // the member was declared dead
	ReasonLeft        Reason = "left"
)

// Change is one change of a member's state. Durations are in microseconds.
type Change struct {
	Name      string
	From, To  State
	IsNew     bool   // true if the member was not in the view before
	By        string // gateway whose report or evidence caused the change
	Reason    Reason
	HeldFor   int64 // time that the member spent in the state From
	SilentFor int64 // time since the member was last seen
}

// Refusal is the reason why a gateway cannot become a member of the view. It is "" if the gateway can.
type Refusal string

// Reasons for which the view refuses a gateway.
const (
	Full     Refusal = "full"      // the view holds MaxMembers members and all of them are live
	KeyTaken Refusal = "key_taken" // another member's name has the same NameKey
)
