package extprocgrpc

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc/credentials"
)

// authority is a certificate authority for tests.
type authority struct {
	t      *testing.T
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	dir    string
	serial int64
}

// newAuthority returns an authority that writes its files to a directory.
func newAuthority(t *testing.T, dir string) *authority {
	t.Helper()
	a := &authority{t: t, dir: dir}
	a.cert, a.key = a.issue("ca", nil)
	return a
}

// issue creates a certificate and writes NAME.crt and NAME.key to the directory of a. The certificate is signed by the
// issuer or, if that is nil, by its own key.
func (a *authority) issue(name string, issuer *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.serial++
	template := &x509.Certificate{SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: issuer == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.cert, issuer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	raw, _ := x509.MarshalECPrivateKey(key)
	a.write(name+".crt", "CERTIFICATE", der, 0o644)
	a.write(name+".key", "EC PRIVATE KEY", raw, 0o600)
	got, _ := x509.ParseCertificate(der)
	return got, key
}

func (a *authority) write(name, kind string, der []byte, mode os.FileMode) {
	if err := os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode); err != nil {
		a.t.Fatal(err)
	}
}

// clientCredentials returns the credentials of a client that trusts the authority. The client
// presents the certificate of the given name from the directory of issuer, or none if name is empty.
func (a *authority) clientCredentials(issuer *authority, name string) credentials.TransportCredentials {
	a.t.Helper()
	c := &tls.Config{RootCAs: x509.NewCertPool(), ServerName: "127.0.0.1"}
	c.RootCAs.AddCert(a.cert)
	if name != "" {
		pair, err := tls.LoadX509KeyPair(filepath.Join(issuer.dir, name+".crt"), filepath.Join(issuer.dir, name+".key"))
		if err != nil {
			a.t.Fatal(err)
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return credentials.NewTLS(c)
}

// usedAddrs counts the addresses that freeAddr has tried.
var usedAddrs atomic.Uint32

// freeAddr returns a loopback address that no other process uses.
// Its port is below the ephemeral ports that connections are given.
func freeAddr() string {
	for {
		n, pid := usedAddrs.Add(1), os.Getpid()
		addr := fmt.Sprintf("127.%d.%d.%d:10080", 1+pid>>8%250, pid%256, 1+n%250)
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
}
