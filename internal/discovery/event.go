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

// The watch's events as they stand on the wire: an object of JSON a line, with the platform's names. Elsewhere the package speaks of
// endpoints, removed ones and purges.

// event is one numbered event. It brings endpoints, a purge, both, or only its number.
type event struct {
	Number    *int64        `json:"no"`
	Endpoints *endpointList `json:"roster"`
	Purge     *purge        `json:"recall"`
}

// endpointList is a change of the endpoint list, or all of it.
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
	StartedAtMS float64 `json:"up_since_ms"` // of a late start; 0: long ago
}

// purge is of an object or of a group.
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

// requestFormat asks for the events after a number.
const requestFormat = "after %d\n"

// maxIssuedAtMS bounds the times of purges; later ones are no times.
const maxIssuedAtMS = 1e14

var (
	// errGap reports that events are missing; a new session brings them.
	errGap = errors.New("events are missing")
	// errRenumbered reports that the discovery's numbers began again; a new session asks from the start.
	errRenumbered = errors.New("the bulletin's numbers began anew")
	errNoNumber   = errors.New("an event without a number")
	errBadPurge   = errors.New("a recall that names not one thing and its time")
)

// endpointError reports an endpoint that cannot be used.
type endpointError struct{ id, text string }

func (e *endpointError) Error() string { return fmt.Sprintf("member %q: %s", e.id, e.text) }

// numberError says which numbers do not fit: the one that was reported, and the last event held.
func numberError(err error, reported, held int64) error {
	return fmt.Errorf("%w: %d told, %d held", err, reported, held)
}

// isComplete reports whether the event brings the complete endpoint list.
func (e *event) isComplete() bool { return e.Endpoints != nil && e.Endpoints.Complete }

// checkNumber reports whether the event is the next one after the last held, but for so many whose numbers may be missing; false without an
// error if it is held already.
func (e *event) checkNumber(last, allowedGap int64) (isNext bool, err error) {
	switch number := *e.Number; {
	case number <= last:
		return false, nil
	case number > last+1+allowedGap:
		return false, fmt.Errorf("%w: %d follows %d", errGap, number, last)
	}
	return true, nil
}

// parse returns the endpoint in the dispatcher's terms, without its cache.
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
		return parsed, &endpointError{m.ID, fmt.Sprintf("phase %q is unknown", m.Phase)}
	}
	if !upstream.IsName(m.ID) {
		return parsed, &endpointError{m.ID, "the id cannot be used"}
	}
	if parsed.State != policy.Gone {
		if _, err := netip.ParseAddrPort(m.Addr); err != nil || parsed.Zone < 0 || parsed.Kind < 0 {
			return parsed, &endpointError{m.ID, "address, locality or flavor is unknown"}
		}
	}
	return parsed, nil
}

// stored returns the endpoint in the terms of the stored list.
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

// parse returns the purge in the dispatcher's terms.
func (p *purge) parse() (dispatch.Purge, error) {
	if (p.Object == "") == (p.Group == nil) || !(p.IssuedAtMS > 0 && p.IssuedAtMS < maxIssuedAtMS) {
		return dispatch.Purge{}, errBadPurge
	}
	return dispatch.Purge{Object: p.Object, Group: p.group(), IssuedAt: time.UnixMicro(int64(p.IssuedAtMS * 1000))}, nil
}

// stored returns the purge in the terms of the stored list.
func (p *purge) stored(receivedAt time.Time) endpoints.Purge {
	return endpoints.Purge{Object: p.Object, Group: p.group(), IssuedAt: int64(p.IssuedAtMS), ReceivedAt: receivedAt.UnixMilli()}
}

func (p *purge) group() int {
	if p.Group == nil {
		return 0
	}
	return *p.Group
}
