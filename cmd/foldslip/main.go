// Command foldslip is the gateway: it reads ROUTER_CONFIG and serves lookups until SIGTERM.
package main

import (
	"context"
	"log"
	"os"

	"foldslip/service"
)

func main() {
	log.SetFlags(log.Ldate | log.Ltime | log.Lmicroseconds)
	if err := service.Run(context.Background()); err != nil {
		log.Printf("event=ended text=%q", err)
		os.Exit(1)
	}
}
