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

// Errors of the files that the configuration names. They are wrapped with the configuration key and the file.
var (
	ErrKeyReadable   = errors.New("key file is accessible to group or others; run chmod 600")
	ErrNoCertificate = errors.New("no certificate found; expected PEM")
)

// Certificates holds the listener's certificate and the authorities that callers'
// certificates are verified against. All of them are replaced together. Open connections
// keep the ones that they were opened with. Certificates is safe for concurrent use.
type Certificates struct{ config atomic.Pointer[tls.Config] }

// LoadCertificates loads the certificate, the key and the authorities from the files that the configuration names.
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

// checkKeyFile returns an error if a key file is accessible to group or others.
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

// ConfigForClient returns the TLS configuration of a new connection, as tls.Config.GetConfigForClient requires.
func (c *Certificates) ConfigForClient(*tls.ClientHelloInfo) (*tls.Config, error) {
	return c.config.Load(), nil
}

// ReplaceWith replaces the certificates that new connections use.
func (c *Certificates) ReplaceWith(other *Certificates) { c.config.Store(other.config.Load()) }
