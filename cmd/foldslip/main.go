// Command foldslip is the gateway and its tools; the bare program serves lookups until SIGTERM.
package main

import "foldslip/internal/cli"

func main() { cli.Run() }
