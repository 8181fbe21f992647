package scenario

import "slices"

// kindRouteChange is the kind of the fault in which an operator changes routes, as plans spell it.
const kindRouteChange = "route_change"

// FaultKind describes a kind of fault: its name, its range of durations, its weight in draws and its effect.
type FaultKind struct {
	Name, Help   string
	minMS, maxMS int  // bounds of the drawn duration, in milliseconds
	weight       int  // share in draws, relative to other kinds
	fromStart    bool // lasts from the start of the scenario to its end
	begin        func(s *Scenario, f Fault)
}

// FaultKinds lists the kinds of faults. The begin function of a kind starts a fault at once and schedules its
// end. Two faults of the same kind may overlap.
var FaultKinds []FaultKind

func init() {
	// DrawPlan draws kinds in this order. A change of the order changes the plan of every seed.
	FaultKinds = slices.Concat(gatewayFaultKinds(), cacheFaultKinds(), connectionFaultKinds(), discoveryFaultKinds(), clientFaultKinds(),
		callerFaultKinds(), otherFaultKinds())
}

// pick returns the element of a list at index modulo the length of the list.
func pick[T any](list []T, index int) T { return list[index%len(list)] }

func findFaultKind(name string) *FaultKind {
	for i := range FaultKinds {
		if FaultKinds[i].Name == name {
			return &FaultKinds[i]
		}
	}
	return nil
}

// otherFaultKinds returns the faults in which operators change routes or machines have few resources.
func otherFaultKinds() []FaultKind {
	return []FaultKind{
		{"route_change", "an operator changes the routes of a gateway and confirms, rolls back or forgets the change", 50, 2000, 4, false, (*Scenario).routeChange},
		{"little_memory", "the configuration of gateways says that they have 8 MB of memory", 1, 1, 1, true, func(s *Scenario, _ Fault) {
			for _, g := range s.gateways {
				g.memoryMB = 8
			}
		}},
		{"few_descriptors", "gateways have 48 file descriptors", 1, 1, 1, true, func(s *Scenario, _ Fault) {
			for _, g := range s.gateways {
				g.descriptors = 48
			}
		}},
	}
}
