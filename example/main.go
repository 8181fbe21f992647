// Command example runs a stand-in for every server that a gateway configuration names: caches, parent, origin and
// discovery. With -gateway it also starts a gateway with that configuration, so that a new user can try lookups.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"os"
	"os/exec"
	"os/signal"
	"syscall"

	"foldslip/example/standin"
)

func main() {
	configPath := flag.String("config", "example/config.json", "path of the gateway configuration")
	gatewayPath := flag.String("gateway", "", "path of a gateway program to start, such as bin/foldslip")
	flag.Parse()
	if err := run(*configPath, *gatewayPath); err != nil {
		log.Fatal(err)
	}
}

// run runs the servers until a signal arrives or, if a gateway is started, until the gateway exits.
func run(configPath, gatewayPath string) error {
	config, err := readConfig(configPath)
	if err != nil {
		return err
	}
	if err := startServers(config); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	if gatewayPath == "" {
		<-signals
		return nil
	}
	return runGateway(gatewayPath, configPath, signals)
}

// gatewayConfig is the part of a gateway configuration that names servers. Its keys are defined by the platform.
type gatewayConfig struct {
	DiscoveryAddr string `json:"bulletin"`
	Known         struct {
		LastEvent int `json:"no"`
		Events    []struct {
			EndpointList struct {
				Endpoints []standin.Endpoint `json:"members"`
			} `json:"roster"`
		} `json:"items"`
	} `json:"known"`
}

func readConfig(path string) (config gatewayConfig, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return config, err
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return config, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// startServers starts a discovery server and a cache for each endpoint.
func startServers(config gatewayConfig) error {
	if _, err := standin.NewDiscovery(config.DiscoveryAddr, config.Known.LastEvent); err != nil {
		return err
	}
	for _, event := range config.Known.Events {
		for _, endpoint := range event.EndpointList.Endpoints {
			cache := newExampleCache(endpoint.ID)
			if _, err := standin.NewCache(endpoint.HostPort, cache.handle); err != nil {
				return err
			}
			log.Printf("%s (%s) at %s", endpoint.ID, endpoint.Flavor, endpoint.HostPort)
		}
	}
	return nil
}

// runGateway runs a gateway until it exits. The first signal is passed on to it as SIGTERM.
func runGateway(path, configPath string, signals <-chan os.Signal) error {
	gateway := exec.Command(path)
	gateway.Env = append(os.Environ(), "ROUTER_CONFIG="+configPath)
	gateway.Stdout = os.Stdout
	gateway.Stderr = os.Stderr
	if err := gateway.Start(); err != nil {
		return err
	}
	go func() {
		<-signals
		gateway.Process.Signal(syscall.SIGTERM)
	}()
	return gateway.Wait()
}
