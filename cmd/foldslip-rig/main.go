// Command foldslip-rig plays scenarios on fleets of gateways and measures their costs. The command foldslip fleet run
// replaces itself with this program.
package main

import "foldslip/internal/cli/rigcli"

func main() { rigcli.Run() }
