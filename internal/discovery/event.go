package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/upstream"
)

// This file defines the wire format of the events: one JSON object per line, with the platform's names. The rest of the
// package uses the terms endpoint, removed endpoint and purge.

// event is a numbered event. It contains endpoints, a purge, both, or only its number.
type event struct {
	Number    *int64        `json:"no"`
	Endpoints *endpointList `json:"roster"`
	Purge     *purge        `json:"recall"`
}

// endpointList contains changed endpoints, or the complete endpoint list.
type endpointList struct {
	Revision  int64      `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []endpoint `json:"members"`
}

type endpoint struct {
	ID          string  `json:"id"`
	Addr        string  `json:"host_port"`
	Zone        string  `json:"locality"`
	MachineType string  `json:"flavor"`
	Cell        int     `json:"cell"`
	Phase       string  `json:"phase"`
	Size        float64 `json:"size"`
	StartedAtMS float64 `json:"up_since_ms"` // Unix time in milliseconds of a recent start; 0: started long ago
}

// purge is the purge of an object or of a group.
type purge struct {
	Object     string  `json:"item"`
	Group      *int    `json:"lot"`
	IssuedAtMS float64 `json:"issued"`
}

// Phases of an endpoint.
const (
	phaseUp       = "up"
	phaseDraining = "draining"
	phaseRemoved  = "removed"
)

// requestFormat is the request for the events after a number.
const requestFormat = "after %d\n"

// maxIssuedAtMS is the exclusive upper bound of purge times, in Unix milliseconds. Larger values are invalid.
const maxIssuedAtMS = 1e14

var (
	// errGap reports that events are missing. A new session delivers them.
	errGap = errors.New("events are missing")
	// errRenumbered reports that discovery numbers its events from the start again. A new session requests all events.
	errRenumbered = errors.New("discovery restarted its event numbers")
	errNoNumber   = errors.New(`event number is missing, expected a field "no"`)
	errBadPurge   = errors.New("recall is invalid, expected either item or lot, and issued in Unix milliseconds")
)

// endpointError reports an invalid endpoint.
type endpointError struct{ id, text string }

func (e *endpointError) Error() string { return fmt.Sprintf("member %q: %s", e.id, e.text) }

// numberError wraps an error with the event number that was reported and the number of the last applied event.
func numberError(err error, reported, held int64) error {
	return fmt.Errorf("%w: discovery reported event %d, last applied event is %d", err, reported, held)
}

// isComplete reports whether the event contains the complete endpoint list.
func (e *event) isComplete() bool { return e.Endpoints != nil && e.Endpoints.Complete }

// checkNumber reports whether the event is the next one after the last applied event. Up to allowedGap numbers may be
// missing between the two. It returns false without an error if the event has already been applied.
func (e *event) checkNumber(last, allowedGap int64) (isNext bool, err error) {
	switch number := *e.Number; {
	case number <= last:
		return false, nil
	case number > last+1+allowedGap:
		return false, fmt.Errorf("%w: received event %d, last applied event is %d", errGap, number, last)
	}
	return true, nil
}

// parse converts the endpoint to a policy.Endpoint. It does not set the cache.
func (m *endpoint) parse(zones, machineTypes []string) (policy.Endpoint, error) {
	parsed := policy.Endpoint{
		Cell:      m.Cell,
		Weight:    m.Size,
		StartedAt: policy.Micros(m.StartedAtMS * 1000),
		Zone:      slices.Index(zones, m.Zone),
		Kind:      slices.Index(machineTypes, m.MachineType),
	}
	switch m.Phase {
	case phaseUp:
		parsed.State = policy.Ready
	case phaseDraining:
		parsed.State = policy.Draining
	case phaseRemoved:
		parsed.State = policy.Gone
	default:
		return parsed, &endpointError{m.ID, fmt.Sprintf("phase %q is unknown, expected up, draining or removed", m.Phase)}
	}
	if !upstream.IsName(m.ID) {
		return parsed, &endpointError{m.ID, "id is invalid, expected printable ASCII characters other than space, comma and ="}
	}
	if parsed.State != policy.Gone {
		if _, err := netip.ParseAddrPort(m.Addr); err != nil || parsed.Zone < 0 || parsed.Kind < 0 {
			return parsed, &endpointError{m.ID, fmt.Sprintf(
				"host_port %.40q, locality %.40q, flavor %.40q: expected IP:port and a locality and flavor of the settings",
				m.Addr, m.Zone, m.MachineType)}
		}
	}
	return parsed, nil
}

// stored converts the endpoint to an entry of the stored list.
func (m *endpoint) stored() endpoints.Endpoint {
	stored := endpoints.Endpoint{ID: m.ID, Addr: m.Addr, Zone: m.Zone, MachineType: m.MachineType, Cell: m.Cell, Size: m.Size,
		StartedAt: int64(m.StartedAtMS)}
	switch m.Phase {
	case phaseDraining:
		stored.Phase = endpoints.Draining
	case phaseRemoved:
		stored.Phase = endpoints.Removed
	}
	return stored
}

// parse converts the purge to a dispatch.Purge.
func (p *purge) parse() (dispatch.Purge, error) {
	if (p.Object == "") == (p.Group == nil) || !(p.IssuedAtMS > 0 && p.IssuedAtMS < maxIssuedAtMS) {
		return dispatch.Purge{}, errBadPurge
	}
	return dispatch.Purge{Object: p.Object, Group: p.group(), IssuedAt: time.UnixMicro(int64(p.IssuedAtMS * 1000))}, nil
}

// stored converts the purge to an entry of the stored list.
func (p *purge) stored(receivedAt time.Time) endpoints.Purge {
	return endpoints.Purge{Object: p.Object, Group: p.group(), IssuedAt: int64(p.IssuedAtMS), ReceivedAt: receivedAt.UnixMilli()}
}

func (p *purge) group() int {
	if p.Group == nil {
		return 0
	}
	return *p.Group
}
