// Package fleet is a test rig for fleets of gateways. It starts real processes of the program on loopback, puts a fault relay
// between every two gateways and between gateways and stub servers (discovery, caches), plays a scenario of kills, pauses, network
// partitions and packet loss, follows each process's log and writes a report. The same model of links carries the same membership
// code on a virtual clock (VirtualFleet). The rig judges by what it did itself (which processes run, which links are open), never by
// what a gateway reports about itself.
//
// Run owns all processes, listeners and goroutines of a run and ends them before it returns; processes are ended by their id, and
// the kernel kills them if the rig dies.
//
// Bounds: maxGateways processes, maxSteps steps, maxDuration per run; loopback addresses only.
package fleet
