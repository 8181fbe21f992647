package scenario

import "time"

// Kinds are the kinds of faults. A kind's begin does at once what it does and arranges for its own end; two faults of a
// kind may overlap.
var FaultKinds []FaultKind

func init() {
	FaultKinds = []FaultKind{
		{"gateway_kill", "a gateway is killed and started again after the span", 500, 5000, 3, false, (*Scenario).gatewayKill},
		{"gateway_half", "nearly half of the gateways are killed at one instant", 500, 4000, 2, false, (*Scenario).gatewayHalf},
		{"gateway_restart", "gateways are restarted one after another by SIGTERM", 1000, 1000, 2, false, (*Scenario).gatewayRestart},
		{"reload_good", "SIGHUP with a file that names the other bulletin", 1000, 1000, 2, false, (*Scenario).reloadGood},
		{"reload_half", "SIGHUP while the file is half written, and again with the whole of it after the span", 20, 800, 1, false, (*Scenario).reloadHalf},
		{"reload_bad", "SIGHUP with a file that cannot be used", 1000, 1000, 1, false, (*Scenario).reloadBad},
		{"clock_step", "clocks step by seconds: gateways started from then on have another time of day", 2000, 9000, 1, false, (*Scenario).clockStep},
		{"cache_kill", "a cache dies, is told gone later and a new one takes its place", 500, 3000, 3, false, ofUndisturbedCache((*Scenario).cacheKill)},
		{"cache_back", "a cache dies and comes back cold under its id", 800, 6000, 2, false, ofUndisturbedCache((*Scenario).cacheBack)},
		{"cache_vanish", "a cache vanishes in silence and comes back cold", 1500, 6000, 2, false, ofUndisturbedCache((*Scenario).cacheVanish)},
		{"cache_hang", "a cache takes lookups and answers none", 1000, 6000, 2, false, ofUndisturbedCache((*Scenario).cacheHang)},
		{"cache_drain", "a cache drains, goes and is replaced", 800, 5000, 3, false, ofUndisturbedCache((*Scenario).cacheDrain)},
		{"cache_replace", "a cache is replaced under a new id at its old address", 300, 3000, 2, false, ofUndisturbedCache((*Scenario).cacheReplace)},
		{"cache_slow", "a cache is slow", 2000, 8000, 2, false, (*Scenario).cacheSlow},
		{"cache_errors", "a cache answers everything with an error", 1000, 6000, 2, false, (*Scenario).cacheErrors},
		{"cold_mass", "half of the caches start cold at once", 1000, 1000, 1, false, (*Scenario).coldMass},
		{"parent_kill", "a parent dies and comes back cold", 1000, 8000, 2, false, (*Scenario).parentKill},
		{"parent_slow", "a parent is slow", 2000, 8000, 1, false, (*Scenario).parentSlow},
		{"parent_hang", "a parent takes fills and gives none", 2000, 6000, 1, false, (*Scenario).parentHang},
		{"origin_slow", "the origin is slow", 2000, 8000, 2, false, (*Scenario).originSlow},
		{"origin_gone", "the origin is gone", 500, 4000, 1, false, (*Scenario).originGone},
		{"split_caches", "the network splits gateways from caches", 200, 4000, 2, false, split("gateways", "edges")},
		{"split_clients", "the network splits clients from gateways", 200, 3000, 1, false, split("clients", "gateways")},
		{"split_bulletin", "the network splits gateways from the bulletin", 200, 4000, 1, false, split("gateways", "bulletin")},
		{"cache_deaf", "a cache reads nothing on its connections", 1000, 4000, 1, false, ofUndisturbedCache((*Scenario).cacheStopsReading)},
		{"close_cache", "caches close connections in order, with sends open on them or not", 500, 4000, 2, false, (*Scenario).closeCache},
		{"reset_cache", "connections to caches are reset at any byte, in either direction", 500, 4000, 3, false, (*Scenario).resetCache},
		{"reset_client", "connections of clients are reset at any byte, in either direction", 500, 4000, 2, false, (*Scenario).resetClient},
		{"spoilt_noise", "answers of caches come as noise", 500, 4000, 1, false, corrupting("noise")},
		{"spoilt_endless", "answers of caches say a length that never comes", 500, 4000, 1, false, corrupting("endless")},
		{"spoilt_short", "answers of caches stop short", 500, 4000, 1, false, corrupting("short")},
		{"spoilt_double", "answers of caches come twice", 500, 4000, 1, false, corrupting("double")},
		{"spoilt_late", "answers of caches come after their time", 500, 4000, 1, false, corrupting("late")},
		{"spoilt_stray", "answers to nothing come before answers", 500, 4000, 1, false, corrupting("stray")},
		{"spoilt_fault", "one answer in four is an error, at every cache", 500, 4000, 1, false, corrupting("fault")},
		{"bulletin_lag", "the bulletin tells late", 2000, 8000, 2, false, (*Scenario).discoveryLag},
		{"bulletin_break", "the bulletin breaks off in an event", 100, 100, 2, false, (*Scenario).discoveryBreak},
		{"bulletin_stop", "the bulletin says nothing and stays open", 1000, 3500, 1, false, (*Scenario).discoveryStall},
		{"bulletin_double", "the bulletin tells every event twice", 3000, 20000, 1, false, (*Scenario).discoveryDuplicate},
		{"bulletin_spoilt", "the bulletin tells a line that cannot be read", 100, 100, 1, false, (*Scenario).discoveryGarbage},
		{"bulletin_gap", "the bulletin leaves an event out", 500, 4000, 1, false, (*Scenario).discoveryGap},
		{"bulletin_gone", "the bulletin is gone", 200, 3000, 1, false, (*Scenario).discoveryGone},
		{"purge_object", "a popular object is purged", 100, 100, 3, false, (*Scenario).purgeObject},
		{"purge_group", "a group is purged", 100, 100, 2, false, (*Scenario).purgeGroup},
		{"purge_overlap", "objects and their groups are purged over and over", 500, 3000, 2, false, (*Scenario).purgeOverlap},
		{"burst", "eight times as many lookups", 1000, 4000, 2, false, (*Scenario).burst},
		{"hot_object", "half of the large lookups are for one object", 3000, 15000, 1, false, (*Scenario).hotObject},
		{"bad_flood", "clients send what no client should, by the hundred", 500, 3000, 2, false, (*Scenario).badFlood},
		{"clients_leave", "one client in three leaves before its answer", 2000, 8000, 2, false, (*Scenario).clientsCancel},
		{"clients_greedy", "clients hold as many connections as they can get, while caches are slow", 2000, 6000, 1, false, (*Scenario).clientsGreedy},
		{"clients_mute", "one client in six stops reading", 1000, 5000, 1, false, (*Scenario).clientsStall},
		{"caller_leaves", "callers break one stream in three off", 2000, 8000, 2, false, atCallers(func(p *extprocCaller, n int) { p.cancelOneIn = 3 * n })},
		{"caller_mute", "callers do not report one send in four", 2000, 6000, 2, false, atCallers(func(p *extprocCaller, n int) { p.silentOneIn = 4 * n })},
		{"caller_twice", "callers ask for one lookup in three a second time on another stream", 2000, 8000, 2, false, atCallers(func(p *extprocCaller, n int) { p.duplicateOneIn = 3 * n })},
		{"caller_lies", "callers report one send in four as something else", 2000, 6000, 2, false, atCallers(func(p *extprocCaller, n int) { p.misreportOneIn = 4 * n })},
		{"caller_late", "callers keep one send in three back", 2000, 6000, 1, false, atCallers(func(p *extprocCaller, n int) { p.delayOneIn = 3 * n })},
		{"caller_odd", "callers send phases out of order, twice, unknown or far too long", 2000, 6000, 2, false, atCallers(func(p *extprocCaller, n int) { p.malformedOneIn = 4 * n })},
		{"caller_slow", "callers ask again after their time, one time in two", 2000, 6000, 1, false, atCallers(func(p *extprocCaller, n int) { p.lateRetryOneIn = 2 * n })},
		{"caller_deaf", "callers do not read one stream in five", 2000, 6000, 1, false, atCallers(func(p *extprocCaller, n int) { p.stallOneIn = 5 * n })},
		{"caller_dies", "a caller dies and comes back", 100, 100, 2, false, func(d *Scenario, f Fault) {
			if p := d.callers[pick(d.gateways, f.Target)]; p != nil {
				p.restart()
			}
		}},
		{"caller_flood", "another caller asks 250 times a second", 1000, 4000, 2, false, func(d *Scenario, f Fault) {
			if p := d.callers[pick(d.gateways, f.Target)]; p != nil {
				p.flood(f.DurationMS / 4)
			}
		}},
		{"route_change", "an operator changes the routes of a gateway, and confirms, undoes or forgets it", 50, 2000, 4, false, (*Scenario).routeChange},
		{"little_memory", "gateways are told of 8 MB", 1, 1, 1, true, func(d *Scenario, _ Fault) {
			for _, g := range d.gateways {
				g.memoryMB = 8
			}
		}},
		{"few_descriptors", "gateways have 48 descriptors", 1, 1, 1, true, func(d *Scenario, _ Fault) {
			for _, g := range d.gateways {
				g.descriptors = 48
			}
		}},
	}
}

// atCallers has a fault at all callers for its span; set is called with 1, and with 0 at its end.
func atCallers(set func(p *extprocCaller, n int)) func(*Scenario, Fault) {
	return func(d *Scenario, f Fault) {
		all := func(n int) {
			for _, g := range d.gateways {
				if p := d.callers[g]; p != nil {
					set(p, n)
				}
			}
		}
		all(1)
		d.after(f.duration(), func() { all(0) })
	}
}

func (f Fault) duration() time.Duration { return time.Duration(f.DurationMS) * time.Millisecond }

func pick[T any](list []T, who int) T { return list[who%len(list)] }
