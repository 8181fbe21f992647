package admin

import (
	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/fleet/broadcast/driver"
	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/route/pools"
)

// Values of Request.Command, as they are sent.
const (
	CommandPropose        = "propose"
	CommandPlan           = "plan"
	CommandCheck          = "check"
	CommandStage          = "stage"
	CommandApply          = "apply"
	CommandConfirm        = "confirm"
	CommandRollBack       = "undo"
	CommandProposeEarlier = "back"
	CommandHistory        = "history"
	CommandText           = "text"

	CommandFleet     = "fleet"
	CommandLimits    = "limits"
	CommandBroadcast = "broadcast"
)

// commandNames is the remedy in the response to an unknown command.
const commandNames = "known commands: propose, plan, check, stage, apply, confirm, undo, back, history, text; fleet, limits, broadcast"

// Request is one request of an operator. The command determines which of the other fields are used.
type Request struct {
	Command   string              `json:"do"`
	Name      string              `json:"name,omitempty"`   // with CommandFleet: the gateway to explain, "" for all
	Version   uint64              `json:"no,omitempty"`     // number of a version; with CommandBroadcast: number of the last purge to leave out
	Parent    uint64              `json:"parent,omitempty"` // version that the change is based on; 0: the active version
	Author    string              `json:"author,omitempty"`
	Reason    string              `json:"reason,omitempty"`
	Share     float64             `json:"share,omitempty"`
	TimeoutMS int64               `json:"within_ms,omitempty"` // the change is rolled back if its next step does not follow within this time
	Config    *config.RouteConfig `json:"config,omitempty"`
	Load      []pools.LoadSample  `json:"load,omitempty"`
}

// Response is the response to a request. It has either the fields of the request's command or an error with its remedy.
type Response struct {
	Step      *change.Step         `json:"step,omitempty"`
	History   []change.VersionInfo `json:"history,omitempty"`
	Active    *change.Active       `json:"force,omitempty"`
	Text      []byte               `json:"text,omitempty"`
	Impact    *pools.Impact        `json:"move,omitempty"`
	Problems  []pools.Problem      `json:"faults,omitempty"`
	Fleet     *membership.Report   `json:"fleet,omitempty"`
	Limits    []limits.Report      `json:"limits,omitempty"`
	Broadcast *driver.Report       `json:"broadcast,omitempty"`
	Error     string               `json:"error,omitempty"`
	Remedy    string               `json:"remedy,omitempty"`
}
