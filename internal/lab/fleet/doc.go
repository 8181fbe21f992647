// Package fleet is a test rig for fleets of gateways. It starts real gateway processes on loopback.
// A relay with injected faults carries the traffic between every two gateways, and between gateways
// and the stub servers for discovery and caches. The rig plays a scenario of kills, pauses, network
// partitions and packet loss, follows the log of each process and writes a report. VirtualFleet
// runs the same membership code over the same model of links on a virtual clock.
//
// What the rig expects of the fleet follows from the rig's own actions (which processes run, which links are open),
// never from what a gateway reports about itself.
//
// Run owns all processes, listeners and goroutines of a run and ends them before it returns. It ends processes by their
// ids. The kernel kills the processes if the rig dies.
//
// A run is bounded by maxGateways processes, maxSteps steps and maxDuration. It uses loopback addresses only.
package fleet
