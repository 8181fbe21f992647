package scenario

import "slices"

// kindRouteChange is the kind of a change of routes, as plans spell it.
const kindRouteChange = "route_change"

// FaultKind is a kind of fault.
type FaultKind struct {
	Name, Help   string
	minMS, maxMS int // duration
	weight       int
	fromStart    bool // is there from the start of the scenario to its end
	begin        func(s *Scenario, f Fault)
}

// FaultKinds are the kinds of faults. A kind's begin does at once what it does and arranges for its own end; two faults of
// a kind may overlap.
var FaultKinds []FaultKind

func init() {
	// The order is that in which plans draw: another one changes the plan of every seed.
	FaultKinds = slices.Concat(gatewayFaultKinds(), cacheFaultKinds(), connectionFaultKinds(), discoveryFaultKinds(), clientFaultKinds(),
		callerFaultKinds(), otherFaultKinds())
}

// pick takes one of a list by a number that may be larger.
func pick[T any](list []T, who int) T { return list[who%len(list)] }

func findFaultKind(name string) *FaultKind {
	for i := range FaultKinds {
		if FaultKinds[i].Name == name {
			return &FaultKinds[i]
		}
	}
	return nil
}

// otherFaultKinds are operators' changes of routes, and small machines.
func otherFaultKinds() []FaultKind {
	return []FaultKind{
		{"route_change", "an operator changes the routes of a gateway, and confirms, undoes or forgets it", 50, 2000, 4, false, (*Scenario).routeChange},
		{"little_memory", "gateways are told of 8 MB", 1, 1, 1, true, func(s *Scenario, _ Fault) {
			for _, g := range s.gateways {
				g.memoryMB = 8
			}
		}},
		{"few_descriptors", "gateways have 48 descriptors", 1, 1, 1, true, func(s *Scenario, _ Fault) {
			for _, g := range s.gateways {
				g.descriptors = 48
			}
		}},
	}
}
