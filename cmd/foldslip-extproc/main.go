// Command foldslip-extproc is the gateway with the external processing service for other proxies, and a client of that service. It is
// a program of its own since the gRPC libraries take 13 MB resident from the start.
package main

import (
	"os"

	"foldslip/internal/cli/extproccli"
)

func main() { os.Exit(extproccli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
