// Command simadapter lets routers play in the bench's simulator: it speaks the simulator's lines on standard input and output.
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
