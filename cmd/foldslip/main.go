// Command foldslip is the gateway and its tools. Without a command it serves lookups until SIGTERM.
package main

import "foldslip/internal/cli"

func main() { cli.Run() }
