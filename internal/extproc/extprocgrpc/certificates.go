package extprocgrpc

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"

	"foldslip/internal/config"
)

// Errors of the files that the configuration names, wrapped with its key and the file.
var (
	ErrKeyReadable   = errors.New("others than its owner may read this key; chmod 600")
	ErrNoCertificate = errors.New("no certificate in it; expected PEM")
)

// Certificates are the listener's certificate and the authorities of callers' certificates. They are replaced as a whole: connections that are up
// keep those that they began with. Methods may be called from any goroutine.
type Certificates struct{ config atomic.Pointer[tls.Config] }

// LoadCertificates reads the files that the configuration names.
func LoadCertificates(files *config.TLS) (*Certificates, error) {
	if err := checkKeyFile(files.Key); err != nil {
		return nil, fmt.Errorf("external_processor.tls.key: %w", err)
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("external_processor.tls: %w", err)
	}
	loaded := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, NextProtos: []string{"h2"}}
	if files.ClientCA != "" {
		loaded.ClientAuth = tls.RequireAndVerifyClientCert
		if loaded.ClientCAs, err = loadAuthorities(files.ClientCA); err != nil {
			return nil, fmt.Errorf("external_processor.tls.client_ca: %w", err)
		}
	}
	c := &Certificates{}
	c.config.Store(loaded)
	return c, nil
}

func loadAuthorities(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: %w", path, ErrNoCertificate)
	}
	return pool, nil
}

// checkKeyFile checks that only its owner may read a file.
func checkKeyFile(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return &os.PathError{Op: "read", Path: path, Err: ErrKeyReadable}
	}
	return nil
}

// ConfigForClient is the configuration of a new connection.
func (c *Certificates) ConfigForClient(*tls.ClientHelloInfo) (*tls.Config, error) {
	return c.config.Load(), nil
}

// ReplaceWith replaces the certificates for the connections to come.
func (c *Certificates) ReplaceWith(other *Certificates) { c.config.Store(other.config.Load()) }
