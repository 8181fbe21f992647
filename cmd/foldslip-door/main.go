// Command foldslip-door is the former name of foldslip-extproc. It is kept for scripts that start the gateway's
// external processor by this name.
package main

import (
	"os"

	"foldslip/internal/cli/extproccli"
)

func main() { os.Exit(extproccli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
