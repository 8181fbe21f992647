// Command simadapter connects routers with the bench's simulator. It implements the simulator's line protocol on
// standard input and output.
package main

import (
	"fmt"
	"os"

	"foldslip/internal/simadapter"
)

func main() {
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
