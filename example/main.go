// Command example plays every party that a configuration names (caches, parent, origin, bulletin) and, with
// -gateway, starts a gateway on it, so that a newcomer can ask for something.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"foldslip/example/standin"
)

func main() {
	path := flag.String("config", "example/config.json", "the gateway's configuration")
	gateway := flag.String("gateway", "", "a gateway to start, such as bin/foldslip")
	flag.Parse()
	if err := run(*path, *gateway); err != nil {
		log.Fatal(err)
	}
}

func run(path, gateway string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var config struct {
		Listen   string `json:"listen"`
		Bulletin string `json:"bulletin"`
		Known    struct {
			No    int `json:"no"`
			Items []struct {
				Roster struct {
					Members []standin.Endpoint `json:"members"`
				} `json:"roster"`
			} `json:"items"`
		} `json:"known"`
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if _, err := standin.NewDiscovery(config.Bulletin, config.Known.No); err != nil {
		return err
	}
	for _, item := range config.Known.Items {
		for _, m := range item.Roster.Members {
			toy := &exampleCache{name: m.ID, cached: map[string]time.Time{}}
			if _, err := standin.NewCache(m.HostPort, toy.answer); err != nil {
				return err
			}
			log.Printf("%s (%s) at %s", m.ID, m.Flavor, m.HostPort)
		}
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	if gateway == "" {
		<-stop
		return nil
	}
	cmd := exec.Command(gateway)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		<-stop
		cmd.Process.Signal(syscall.SIGTERM)
	}()
	return cmd.Wait()
}

// exampleCache is a cache that makes up its objects: filled the first time they are asked for, then held.
type exampleCache struct {
	name   string
	mu     sync.Mutex
	cached map[string]time.Time
}

func (t *exampleCache) answer(d standin.Request) {
	key := d.Fields["k"] + "/" + d.Fields["p"]
	t.mu.Lock()
	born, held := t.cached[key]
	if !held && d.Fields["from"] != "" {
		born = time.Now()
		t.cached[key] = born
	}
	t.mu.Unlock()
	body := fmt.Sprintf("part %s of %s, by %s\n", d.Fields["p"], d.Fields["k"], t.name)
	switch {
	case held && d.Fields["seen"] == "v1":
		d.Respond("VALID", fmt.Sprintf("note=hit,ver=v1,born=%d", born.UnixMilli()))
	case held:
		d.Hit(born, "hit", body)
	case d.Fields["from"] != "":
		d.Hit(born, "filled", body)
	default:
		d.Respond("NONE", "-")
	}
}
