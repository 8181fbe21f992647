// Command foldslip-rig is the rig for fleets of gateways (what foldslip fleet run becomes).
package main

import "foldslip/internal/cli/rigcli"

func main() { rigcli.Run() }
