package scenario

// callerFaultKinds are the faults of callers of the external processor.
func callerFaultKinds() []FaultKind {
	return []FaultKind{
		{"caller_leaves", "callers break one stream in three off", 2000, 8000, 2, false, atCallers(func(caller *extprocCaller, n int) { caller.cancelOneIn = 3 * n })},
		{"caller_mute", "callers do not report one send in four", 2000, 6000, 2, false, atCallers(func(caller *extprocCaller, n int) { caller.silentOneIn = 4 * n })},
		{"caller_twice", "callers ask for one lookup in three a second time on another stream", 2000, 8000, 2, false, atCallers(func(caller *extprocCaller, n int) { caller.duplicateOneIn = 3 * n })},
		{"caller_lies", "callers report one send in four as something else", 2000, 6000, 2, false, atCallers(func(caller *extprocCaller, n int) { caller.misreportOneIn = 4 * n })},
		{"caller_late", "callers keep one send in three back", 2000, 6000, 1, false, atCallers(func(caller *extprocCaller, n int) { caller.delayOneIn = 3 * n })},
		{"caller_odd", "callers send phases out of order, twice, unknown or far too long", 2000, 6000, 2, false, atCallers(func(caller *extprocCaller, n int) { caller.malformedOneIn = 4 * n })},
		{"caller_slow", "callers ask again after their time, one time in two", 2000, 6000, 1, false, atCallers(func(caller *extprocCaller, n int) { caller.lateRetryOneIn = 2 * n })},
		{"caller_deaf", "callers do not read one stream in five", 2000, 6000, 1, false, atCallers(func(caller *extprocCaller, n int) { caller.stallOneIn = 5 * n })},
		{"caller_dies", "a caller dies and comes back", 100, 100, 2, false, func(s *Scenario, f Fault) {
			if caller := s.callers[pick(s.gateways, f.Target)]; caller != nil {
				caller.restart()
			}
		}},
		{"caller_flood", "another caller asks 250 times a second", 1000, 4000, 2, false, func(s *Scenario, f Fault) {
			if caller := s.callers[pick(s.gateways, f.Target)]; caller != nil {
				caller.flood(f.DurationMS / 4)
			}
		}},
	}
}

// atCallers makes a fault at all callers: set is called with 1 at its beginning and with 0 at its end.
func atCallers(set func(caller *extprocCaller, n int)) func(*Scenario, Fault) {
	return func(s *Scenario, f Fault) {
		all := func(n int) {
			for _, g := range s.gateways {
				if caller := s.callers[g]; caller != nil {
					set(caller, n)
				}
			}
		}
		all(1)
		s.after(f.duration(), func() { all(0) })
	}
}
