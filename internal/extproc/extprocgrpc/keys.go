package extprocgrpc

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"

	"foldslip/internal/config"
)

// Certificates are the door's certificate and whose callers' certificates it takes. They are read whole and swapped by pointer:
// connections that are up go on under those they came with.
type Certificates struct{ config atomic.Pointer[tls.Config] }

// LoadCertificates reads what the settings name.
func LoadCertificates(t *config.TLS) (*Certificates, error) {
	if err := checkKeyFile(t.Key); err != nil {
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
	k := &Certificates{}
	k.config.Store(c)
	return k, nil
}

// ConfigForClient is what a new connection is met with.
func (k *Certificates) ConfigForClient(*tls.ClientHelloInfo) (*tls.Config, error) {
	return k.config.Load(), nil
}

// ReplaceWith puts others in place.
func (k *Certificates) ReplaceWith(other *Certificates) { k.config.Store(other.config.Load()) }
