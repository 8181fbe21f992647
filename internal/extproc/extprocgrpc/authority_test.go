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

// authority signs certificates for a test.
type authority struct {
	t      *testing.T
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	dir    string
	serial int64
}

// newAuthority makes an authority that writes its files to a folder.
func newAuthority(t *testing.T, dir string) *authority {
	t.Helper()
	a := &authority{t: t, dir: dir}
	a.cert, a.key = a.issue("ca", nil)
	return a
}

// issue writes NAME.crt and NAME.key, signed by the authority or by itself.
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

// clientCredentials are a client's that trusts the authority, with a certificate that another one issued; none if name is empty.
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

// usedAddrs counts the addresses that freeAddr gave.
var usedAddrs atomic.Uint32

// freeAddr is a loopback address of this process alone, with a port below those that connections get.
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
