package extprocgrpc

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"

	"foldslip/internal/config"
)

// Keys are the door's certificate and whose callers' certificates it takes. They are read whole and swapped by pointer:
// connections that are up go on under those they came with.
type Keys struct{ now atomic.Pointer[tls.Config] }

// ReadKeys reads what the settings name.
func ReadKeys(t *config.TLS) (*Keys, error) {
	if err := usable(t.Key); err != nil {
		return nil, fmt.Errorf("external_processor.tls.key: %w", err)
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, fmt.Errorf("external_processor.tls: %w", err)
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, NextProtos: []string{"h2"}}
	if t.ClientCA != "" {
		text, err := os.ReadFile(t.ClientCA)
		if err != nil {
			return nil, fmt.Errorf("external_processor.tls.client_ca: %w", err)
		}
		c.ClientCAs, c.ClientAuth = x509.NewCertPool(), tls.RequireAndVerifyClientCert
		if !c.ClientCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("external_processor.tls.client_ca: %s: no certificate in it; expected PEM", t.ClientCA)
		}
	}
	k := &Keys{}
	k.now.Store(c)
	return k, nil
}

// For is what a new connection is met with.
func (k *Keys) For(*tls.ClientHelloInfo) (*tls.Config, error) { return k.now.Load(), nil }

// Take puts others in place.
func (k *Keys) Take(other *Keys) { k.now.Store(other.now.Load()) }
