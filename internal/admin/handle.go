package admin

import (
	"errors"
	"fmt"
	"time"

	"foldslip/internal/config/change"
	"foldslip/internal/route/rollout"
)

// handleInTurn carries out a request when it is its turn, so that operators who send requests without a pause do not hold
// up lookups. A step of a route change may wait for the disk. It gives its turn back first, so that queries do not wait
// for the disk as well.
func (s *Server) handleInTurn(request Request) Response {
	s.turns.Acquire()
	if !isQuery(request.Command) {
		s.turns.Release()
		return s.Handle(request)
	}
	defer s.turns.Release()
	return s.Handle(request)
}

// isQuery reports whether a command changes nothing.
func isQuery(command string) bool {
	switch command {
	case CommandFleet, CommandLimits, CommandBroadcast, CommandHistory, CommandText, CommandPlan:
		return true
	}
	return false
}

// Handle carries out a request and returns the response to it.
func (s *Server) Handle(request Request) Response {
	switch request.Command {
	case CommandFleet:
		return s.reportFleet(request)
	case CommandLimits:
		return s.reportLimits()
	case CommandBroadcast:
		return s.reportBroadcast(request)
	}
	if s.services.Routes == nil {
		return Response{Error: "this gateway has no routes", Remedy: "set routing in its settings, and send the request to routing.socket"}
	}
	return handleRoutes(s.services.Routes, request)
}

func (s *Server) reportFleet(request Request) Response {
	if s.services.Fleet == nil {
		return Response{Error: "this gateway is not a member of a fleet", Remedy: "set fleet in its settings, and send the request to fleet.socket"}
	}
	report, err := s.services.Fleet.Report(true, request.Name)
	if err != nil {
		return Response{Error: err.Error(), Remedy: "foldslip fleet members lists the known gateways"}
	}
	return Response{Fleet: &report}
}

func (s *Server) reportLimits() Response {
	if s.services.Limits == nil {
		return Response{Error: "this gateway shares no limits with a fleet", Remedy: "set fleet and routing in its settings, and send the request to fleet.socket"}
	}
	return Response{Limits: s.services.Limits.LimitReports()}
}

func (s *Server) reportBroadcast(request Request) Response {
	if s.services.Broadcast == nil {
		return Response{Error: "this gateway spreads no purges by broadcast", Remedy: "set fleet.broadcast in its settings, and send the request to fleet.socket"}
	}
	report := s.services.Broadcast.Report(request.Version)
	return Response{Broadcast: &report}
}

// handleRoutes answers a query about the routes or carries out a step of a route change.
func handleRoutes(routes *rollout.Controller, request Request) Response {
	switch request.Command {
	case CommandHistory:
		history, active := routes.History()
		return Response{History: history, Active: &active}
	case CommandText:
		if text := routes.Text(request.Version); text != nil {
			return Response{Text: text}
		}
		return Response{Error: fmt.Sprintf("version %d is not retained", request.Version), Remedy: "the command history lists the retained versions"}
	case CommandPlan:
		if request.Config == nil {
			return errorResponse(errNoConfig)
		}
		impact, problems := routes.Plan(*request.Config, request.Load)
		return Response{Impact: &impact, Problems: problems}
	}
	step, err := takeStep(routes, request)
	if err != nil {
		return errorResponse(err)
	}
	step.Text = nil // the caller has the configuration, or can request it with CommandText
	return Response{Step: &step}
}

var errNoConfig error = change.Error{Text: "the request has no configuration", Remedy: "send one in the field config"}

func takeStep(routes *rollout.Controller, request Request) (change.Step, error) {
	timeout := time.Duration(request.TimeoutMS) * time.Millisecond
	switch request.Command {
	case CommandPropose:
		return propose(routes, request)
	case CommandProposeEarlier:
		return routes.ProposeEarlier(request.Version, request.Author, request.Reason)
	case CommandCheck:
		return routes.Check(request.Version)
	case CommandStage:
		return routes.Stage(request.Version, request.Share, timeout)
	case CommandApply:
		return routes.Apply(request.Version, timeout)
	case CommandConfirm:
		return routes.Confirm(request.Version)
	case CommandRollBack:
		return routes.RollBack(request.Version, request.Reason)
	}
	return change.Step{}, change.Error{Text: fmt.Sprintf("unknown command %q", request.Command), Remedy: commandNames}
}

func propose(routes *rollout.Controller, request Request) (change.Step, error) {
	if request.Config == nil {
		return change.Step{}, errNoConfig
	}
	parent := request.Parent
	if parent == 0 {
		_, active := routes.History()
		parent = active.Base
	}
	return routes.Propose(parent, *request.Config, request.Author, request.Reason)
}

// errorResponse returns a response with an error's text and, for a change.Error, its remedy.
func errorResponse(err error) Response {
	var requestErr change.Error
	if errors.As(err, &requestErr) {
		return Response{Error: requestErr.Text, Remedy: requestErr.Remedy}
	}
	return Response{Error: err.Error()}
}
