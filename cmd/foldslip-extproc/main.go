// Command foldslip-extproc is the gateway with an external processing service for other proxies. It also contains a
// client of that service. It is a separate program because the gRPC libraries use 13 MB of resident memory at start-up.
package main

import (
	"os"

	"foldslip/internal/cli/extproccli"
)

func main() { os.Exit(extproccli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
