package admin

import (
	"errors"
	"fmt"
	"time"

	"foldslip/internal/config/change"
	"foldslip/internal/route/rollout"
)

// Handle carries a request out.
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
		return Response{Error: "this gateway has no routes", Remedy: "set routing in its settings, and call at routing.socket"}
	}
	return handleRoutes(s.services.Routes, request)
}

func (s *Server) reportFleet(request Request) Response {
	if s.services.Fleet == nil {
		return Response{Error: "this gateway knows no fleet", Remedy: "set fleet in its settings, and call at fleet.socket"}
	}
	report, err := s.services.Fleet.Report(true, request.Name)
	if err != nil {
		return Response{Error: err.Error(), Remedy: "see foldslip fleet members"}
	}
	return Response{Fleet: &report}
}

func (s *Server) reportLimits() Response {
	if s.services.Limits == nil {
		return Response{Error: "this gateway shares no limits with a fleet", Remedy: "set fleet and routing in its settings, and call at fleet.socket"}
	}
	return Response{Limits: s.services.Limits.LimitReports()}
}

func (s *Server) reportBroadcast(request Request) Response {
	if s.services.Broadcast == nil {
		return Response{Error: "this gateway spreads no purges by broadcast", Remedy: "set fleet.broadcast in its settings, and call at fleet.socket"}
	}
	report := s.services.Broadcast.Report(request.Version)
	return Response{Broadcast: &report}
}

// handleRoutes answers a question about routes or takes a step of a change.
func handleRoutes(routes *rollout.Controller, request Request) Response {
	switch request.Command {
	case CommandHistory:
		history, active := routes.History()
		return Response{History: history, Active: &active}
	case CommandText:
		if text := routes.Text(request.Version); text != nil {
			return Response{Text: text}
		}
		return Response{Error: fmt.Sprintf("version %d is not kept", request.Version), Remedy: "see history"}
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
	step.Text = nil // the caller has it
	return Response{Step: &step}
}

var errNoConfig error = change.Error{Text: "no configuration came with it", Remedy: "send one as config"}

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
	return change.Step{}, change.Error{Text: fmt.Sprintf("%q is no step", request.Command), Remedy: commandNames}
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

// errorResponse returns an error's text and, where it has one, its remedy.
func errorResponse(err error) Response {
	var requestErr change.Error
	if errors.As(err, &requestErr) {
		return Response{Error: requestErr.Text, Remedy: requestErr.Remedy}
	}
	return Response{Error: err.Error()}
}
