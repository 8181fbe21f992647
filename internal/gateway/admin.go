package gateway

import (
	"fmt"

	"foldslip/internal/admin"
)

// openAdmin opens the admin sockets that the operators configure. Routes and the fleet
// have a socket each. If both settings name the same path, one socket serves both.
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

// openSocket opens the admin socket at path and appends it to services. The socket serves what is offered. An
// empty path opens nothing. setting is the section of the configuration that names the socket, for errors.
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
