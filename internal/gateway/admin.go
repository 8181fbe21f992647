package gateway

import (
	"fmt"

	"foldslip/internal/admin"
)

// openAdmin opens the operators' sockets that the configuration names: one for routes and one for the fleet, or one for both where they are
// the same.
func (g *instance) openAdmin() ([]Service, error) {
	routeServices := admin.Services{Routes: g.routes}
	fleetServices := admin.Services{}
	routingSocket, fleetSocket := "", ""
	if g.routes != nil {
		routingSocket = g.config.operators.Routing.Socket
	}
	if g.fleet != nil {
		fleetServices = admin.Services{Fleet: g.fleet.fleet, Limits: g.fleet.gossip, Broadcast: g.fleet.broadcaster}
		fleetSocket = g.config.operators.Fleet.Socket
	}
	if routingSocket == fleetSocket {
		combined := fleetServices
		combined.Routes = g.routes
		return g.openSocket(nil, "routing", routingSocket, combined)
	}
	services, err := g.openSocket(nil, "routing", routingSocket, routeServices)
	if err != nil {
		return nil, err
	}
	return g.openSocket(services, "fleet", fleetSocket, fleetServices)
}

// openSocket adds the service of a socket, if there is a path; setting is what names it in the configuration.
func (g *instance) openSocket(services []Service, setting, path string, offered admin.Services) ([]Service, error) {
	if path == "" {
		return services, nil
	}
	server, err := admin.Open(g.env, path, offered)
	if err != nil {
		return nil, fmt.Errorf("%s.socket: %w", setting, err)
	}
	return append(services, server), nil
}
