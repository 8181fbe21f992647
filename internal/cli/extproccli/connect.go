package extproccli

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"foldslip/internal/cli/program"
)

// connect returns a connection to the external processor. The first lookup establishes it.
func (c *lookupCommand) connect(transport credentials.TransportCredentials) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient(grpcTarget(c.Address), grpc.WithTransportCredentials(transport))
	if err != nil {
		return nil, program.UsageErrorf("--door %q: %w", c.Address, err)
	}
	return conn, nil
}

// grpcTarget returns the gRPC target of an address. gRPC dials the address as it is and does not resolve names.
func grpcTarget(address string) string {
	if strings.HasPrefix(address, "unix:") {
		return address
	}
	return "passthrough:///" + address
}

// transportCredentials returns credentials for TLS if --ca is given, and for plain text otherwise.
func (c *lookupCommand) transportCredentials() (credentials.TransportCredentials, error) {
	if c.CA == "" {
		return insecure.NewCredentials(), nil
	}
	config, err := c.tlsConfig()
	if err != nil {
		return nil, program.UsageError{Err: err}
	}
	return credentials.NewTLS(config), nil
}

func (c *lookupCommand) tlsConfig() (*tls.Config, error) {
	authority, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	host, _, _ := net.SplitHostPort(c.Address)
	if host == "" { // a Unix socket
		host = "localhost"
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool(), ServerName: host}
	if !config.RootCAs.AppendCertsFromPEM(authority) {
		return nil, program.UsageErrorf("--ca %s: the file has no PEM certificate", c.CA)
	}
	if c.Cert != "" {
		certificate, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return nil, fmt.Errorf("--cert, --key: %w", err)
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	return config, nil
}
