// Command foldslip-door is the old name of foldslip-extproc, kept for scripts that start the gateway's external processor by it.
package main

import (
	"os"

	"foldslip/internal/cli/extproccli"
)

func main() { os.Exit(extproccli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
