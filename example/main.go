// Command example plays every server that a configuration names (caches, parent, origin, discovery) and, with -gateway, starts a gateway
// on it, so that a newcomer can look something up.
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
	configPath := flag.String("config", "example/config.json", "the gateway's configuration")
	gatewayPath := flag.String("gateway", "", "a gateway to start, such as bin/foldslip")
	flag.Parse()
	if err := run(*configPath, *gatewayPath); err != nil {
		log.Fatal(err)
	}
}

// run plays the servers until a signal, or until the gateway ends if one is started.
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

// gatewayConfig is the part of a gateway's configuration that names servers; its keys are those of the platform.
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

// startServers starts discovery and a cache for each endpoint.
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

// runGateway runs a gateway until it ends; a signal is passed to it as SIGTERM.
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
