package scenario

// callerFaultKinds returns the kinds of faults of callers of the external processor.
func callerFaultKinds() []FaultKind {
	return []FaultKind{
		{"caller_leaves", "callers reset one stream in three", 2000, 8000, 2, false, atCallers(func(caller *extprocCaller, n int) { caller.cancelOneIn = 3 * n })},
		{"caller_mute", "callers do not report the outcome of one attempt in four", 2000, 6000, 2, false, atCallers(func(caller *extprocCaller, n int) { caller.silentOneIn = 4 * n })},
		{"caller_twice", "callers send one lookup in three a second time on another stream", 2000, 8000, 2, false, atCallers(func(caller *extprocCaller, n int) { caller.duplicateOneIn = 3 * n })},
		{"caller_lies", "callers report a random outcome for one in four idempotent attempts", 2000, 6000, 2, false, atCallers(func(caller *extprocCaller, n int) { caller.misreportOneIn = 4 * n })},
		{"caller_late", "callers delay one attempt in three", 2000, 6000, 1, false, atCallers(func(caller *extprocCaller, n int) { caller.delayOneIn = 3 * n })},
		{"caller_odd", "callers send messages that are out of order, repeated, of unknown phase or far too long", 2000, 6000, 2, false, atCallers(func(caller *extprocCaller, n int) { caller.malformedOneIn = 4 * n })},
		{"caller_slow", "callers delay one in two of the retries that the gateway asks for", 2000, 6000, 1, false, atCallers(func(caller *extprocCaller, n int) { caller.lateRetryOneIn = 2 * n })},
		{"caller_deaf", "callers do not read from one stream in five", 2000, 6000, 1, false, atCallers(func(caller *extprocCaller, n int) { caller.stallOneIn = 5 * n })},
		{"caller_dies", "a caller dies and restarts", 100, 100, 2, false, func(s *Scenario, f Fault) {
			if caller := s.callers[pick(s.gateways, f.Target)]; caller != nil {
				caller.restart()
			}
		}},
		{"caller_flood", "another caller sends 250 lookups a second", 1000, 4000, 2, false, func(s *Scenario, f Fault) {
			if caller := s.callers[pick(s.gateways, f.Target)]; caller != nil {
				caller.flood(f.DurationMS / 4)
			}
		}},
	}
}

// atCallers returns the begin function of a fault that affects all callers. It calls set for each caller, with 1 when
// the fault begins and with 0 when it ends.
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
