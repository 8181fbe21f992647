// Command foldslip-door is the gateway with the door for other proxies, and a client of that door. It is a program of its own
// since its libraries take 13 MB resident from the start.
package main

import (
	"os"

	"foldslip/cli/doors"
)

func main() { os.Exit(doors.Main(os.Args[1:], os.Stdout, os.Stderr)) }
