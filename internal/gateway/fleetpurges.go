package gateway

import (
	"time"

	"foldslip/internal/discovery"
	"foldslip/internal/dispatch"
	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/fleet/broadcast/driver"
	"foldslip/internal/fleet/gossip"
	"foldslip/internal/fleet/purgesync"
	"foldslip/internal/purgelog"
)

// fleetPurges exchanges purges between the gateway and its fleet. Purges that other gateways received
// first are applied here. Purges of the gateway's own discovery watch are announced to the other gateways.
type fleetPurges struct {
	log        *purgelog.Log
	dispatcher *dispatch.Dispatcher
	watch      *discovery.Watch
}

// apply records purges of other gateways and applies them in the
// dispatcher, as the discovery watch does with its own purges.
func (f *fleetPurges) apply(purges []dispatch.Purge) {
	for _, p := range purges {
		f.log.Record(p.Object, p.Group, p.IssuedAt)
	}
	f.dispatcher.Tick(nil, false, purges)
}

// onGossip applies purges that were received by gossip.
func (f *fleetPurges) onGossip(received []purgesync.Purge) {
	var purges []dispatch.Purge
	for _, p := range received {
		purges = append(purges, dispatch.Purge{Object: p.Object, Group: int(p.Group), IssuedAt: time.UnixMilli(p.Issued)})
	}
	f.apply(purges)
}

// onBroadcast applies purges that were received by broadcast.
func (f *fleetPurges) onBroadcast(received []broadcast.Purge) {
	purges := make([]dispatch.Purge, 0, len(received))
	for _, p := range received {
		purges = append(purges, dispatch.Purge{Object: p.Object, Group: int(p.Group), IssuedAt: time.UnixMilli(p.Issued)})
	}
	f.apply(purges)
}

// announceByGossip makes the discovery watch pass the purges of each event to the gossiper.
// It also gives the gossiper the number of the last event held, with which its digests begin.
func (f *fleetPurges) announceByGossip(gossiper *gossip.Gossiper) {
	f.watch.OnEvent = func(number int64, purges []dispatch.Purge) {
		var announced []purgesync.Purge
		for _, p := range purges {
			announced = append(announced, purgesync.Purge{Event: number, Object: p.Object, Group: int64(p.Group), Issued: p.IssuedAt.UnixMilli()})
		}
		gossiper.RecordPurges(number, announced)
	}
	gossiper.RecordPurges(f.watch.LastEvent, nil)
}

// announceByBroadcast makes the discovery watch pass the purges of each event to the broadcaster.
func (f *fleetPurges) announceByBroadcast(broadcaster *driver.Driver) {
	f.watch.OnEvent = func(_ int64, purges []dispatch.Purge) {
		announced := make([]broadcast.Purge, 0, len(purges))
		for _, p := range purges {
			announced = append(announced, broadcast.Purge{Object: p.Object, Group: int64(p.Group), Issued: p.IssuedAt.UnixMilli()})
		}
		broadcaster.RecordPurges(announced)
	}
}
