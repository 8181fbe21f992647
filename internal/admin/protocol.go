package admin

import (
	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/fleet/broadcast/driver"
	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/route/pools"
)

// Commands of a Request, as they are on the wire.
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

// commandNames is the remedy for a command that is none.
const commandNames = "propose, plan, check, stage, apply, confirm, undo, back, history, text; fleet, limits, broadcast"

// Request is one call of an operator. Which fields count depends on the command.
type Request struct {
	Command   string              `json:"do"`
	Name      string              `json:"name,omitempty"`   // of the gateway to explain, with CommandFleet
	Version   uint64              `json:"no,omitempty"`     // with CommandBroadcast: reports begin after this number
	Parent    uint64              `json:"parent,omitempty"` // 0: the active one
	Author    string              `json:"author,omitempty"`
	Reason    string              `json:"reason,omitempty"`
	Share     float64             `json:"share,omitempty"`
	TimeoutMS int64               `json:"within_ms,omitempty"` // for the next step to come
	Config    *config.RouteConfig `json:"config,omitempty"`
	Load      []pools.LoadSample  `json:"load,omitempty"`
}

// Response is what came of a request: the fields of its command, or an error with its remedy.
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
