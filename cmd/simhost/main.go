// Command simhost lets routers play on the simulator's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"foldslip/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
