package extprocgrpc

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"foldslip/client"
	"foldslip/internal/admission"
	"foldslip/internal/cacheregistry"
	"foldslip/internal/config"
	"foldslip/internal/env"
	"foldslip/internal/gateway"
	"foldslip/internal/purgelog"
)

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	dir  string
	n    int64
}

func newAuthority(t *testing.T, dir string) *authority {
	a := &authority{t: t, dir: dir}
	a.cert, a.key = a.make("ca", nil)
	return a
}

// make writes NAME.crt and NAME.key, signed by the authority or by itself.
func (a *authority) make(name string, by *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.n++
	c := &x509.Certificate{SerialNumber: big.NewInt(a.n), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: by == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	parent, signer := c, key
	if by != nil {
		parent, signer = by.cert, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
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

// listening is a door of the operators' settings on loopback.
func listening(t *testing.T, x *config.ExternalProcessor) *Listener {
	t.Helper()
	g, caches := env.NewSystem(io.Discard, slog.LevelInfo), &cacheregistry.Registry{}
	terms, f := router(t, caches, false)
	x.StreamsPerConnection, x.StreamsPerCaller, x.Lookups, x.LookupsPerCaller, x.MaxRetryAfterMS, x.RememberMS, x.SilenceTimeoutMS, x.Weight = 100, 100, 100, 100, 300, 2000, 5000, 1
	x.Table = []config.LookupRule{{Path: "/call/{kind}/{object}/part-{part}", Kind: "path:kind", Object: "path:object", Part: "path:part", ID: "header:x-job-id"}}
	l, err := Listen(gateway.Dependencies{Name: "n0", Environment: g, Settings: terms, Dispatcher: f, Registry: caches, Purges: &purgelog.Log{Clock: g, Retention: time.Minute},
		Admission: admission.NewController(g, 100, 1<<20), Config: &config.Config{ExternalProcessor: x}}, x)
	if err != nil {
		t.Fatal(err)
	}
	life, ended := env.NewLifetime(nil), make(chan error)
	go func() { ended <- l.Run(life) }()
	go func() { // as service does
		for !life.Ended() {
			time.Sleep(f.Tick(nil, false, nil))
		}
	}()
	t.Cleanup(func() {
		f.Stop()
		life.End()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l
}

// ask has one lookup through the client package; ends are how its sends end.
func ask(t *testing.T, target string, creds credentials.TransportCredentials, id string, ends ...string) (client.Result, error) {
	t.Helper()
	conn, err := grpc.NewClient(target, grpc.WithTransportCredentials(creds))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	return client.New(conn).Lookup(ctx, client.Request{Path: "/call/segment/o/part-1", Header: http.Header{"X-Job-Id": {id}}},
		func(_ context.Context, d client.Decision) client.AttemptOutcome {
			return client.AttemptOutcome{Word: ends[min(d.Attempt, len(ends)-1)], CreatedAt: time.Now()}
		})
}

func TestCaller(t *testing.T) {
	x := &config.ExternalProcessor{Listen: "unix:" + filepath.Join(t.TempDir(), "door")}
	l := listening(t, x)
	at := x.Listen
	for i, story := range []struct {
		name   string
		ends   []string
		result client.ResultKind
		sends  int
	}{{"a hit", []string{"hit"}, client.Satisfied, 1}, {"shed, then a hit elsewhere", []string{"shed", "hit"}, client.Satisfied, 2},
		{"never connected, an error, a hit", []string{"unconnected", "fault", "hit"}, client.Satisfied, 3},
		{"errors without end", []string{"fault"}, client.Rejected, 3}} {
		t.Run(story.name, func(t *testing.T) {
			o, err := ask(t, at, insecure.NewCredentials(), fmt.Sprint("a", i), story.ends...)
			if err != nil || o.Kind != story.result || len(o.Attempts) != story.sends {
				t.Errorf("%+v, %v", o, err)
			}
		})
	}
	t.Run("one that is answered already is refused", func(t *testing.T) {
		if o, err := ask(t, at, insecure.NewCredentials(), "a0", "hit"); err != nil || o.Kind != client.Refused || o.Status != 409 {
			t.Errorf("%+v, %v", o, err)
		}
	})
	t.Run("another process on the socket is told, a socket left behind is taken over", func(t *testing.T) {
		path := strings.TrimPrefix(x.Listen, "unix:")
		if _, err := openListener(env.NewSystem(io.Discard, slog.LevelInfo), x.Listen); err == nil || !strings.Contains(err.Error(), "another process") {
			t.Error(err)
		}
		if info, err := os.Stat(path); err != nil || info.Mode().Perm() != socketMode {
			t.Error(info, err)
		}
		left, err := net.Listen("unix", path+"2")
		if err != nil {
			t.Fatal(err)
		}
		left.(*net.UnixListener).SetUnlinkOnClose(false)
		left.Close()
		again, err := openListener(env.NewSystem(io.Discard, slog.LevelInfo), x.Listen+"2")
		if err != nil {
			t.Fatal(err)
		}
		again.Close()
	})
	t.Run("settings that move the door are refused, a table is taken", func(t *testing.T) {
		other := *x
		other.Listen = "127.0.0.1:1"
		if _, err := l.PrepareReload(&config.Config{ExternalProcessor: &other}); err == nil {
			t.Error("moved")
		}
		other = *x
		other.Table = []config.LookupRule{{Path: "/other", Kind: "segment", Object: "o", ID: "header:x-job-id"}}
		change, err := l.PrepareReload(&config.Config{ExternalProcessor: &other})
		if err != nil {
			t.Fatal(err)
		}
		change()
		if o, err := ask(t, at, insecure.NewCredentials(), "b1", "hit"); err != nil || o.Status != 404 {
			t.Errorf("%+v, %v", o, err)
		}
	})
}

func TestTLS(t *testing.T) {
	dir := t.TempDir()
	ours, theirs := newAuthority(t, dir), newAuthority(t, t.TempDir())
	ours.make("door", ours)
	ours.make("edge", ours)
	theirs.make("stranger", theirs)
	at := free()
	x := &config.ExternalProcessor{Listen: at, TLS: &config.TLS{Cert: dir + "/door.crt", Key: dir + "/door.key", ClientCA: dir + "/ca.crt"}}
	l := listening(t, x)
	creds := func(by *authority, name string) credentials.TransportCredentials {
		c := &tls.Config{RootCAs: x509.NewCertPool(), ServerName: "127.0.0.1"}
		c.RootCAs.AddCert(ours.cert)
		if name != "" {
			pair, err := tls.LoadX509KeyPair(filepath.Join(by.dir, name+".crt"), filepath.Join(by.dir, name+".key"))
			if err != nil {
				t.Fatal(err)
			}
			c.Certificates = []tls.Certificate{pair}
		}
		return credentials.NewTLS(c)
	}
	if o, err := ask(t, at, creds(ours, "edge"), "a", "hit"); err != nil || o.Kind != client.Satisfied {
		t.Fatalf("%+v, %v", o, err)
	}
	for name, c := range map[string]credentials.TransportCredentials{"no certificate": creds(nil, ""), "a stranger's": creds(theirs, "stranger"),
		"no TLS": insecure.NewCredentials()} {
		t.Run(name+" is turned away", func(t *testing.T) {
			if o, err := ask(t, at, c, "b", "hit"); err == nil {
				t.Errorf("%+v", o)
			}
		})
	}
	t.Run("keys are read anew, and streams that are open go on", func(t *testing.T) {
		conn, err := grpc.NewClient(at, grpc.WithTransportCredentials(creds(ours, "edge")))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		during := func(_ context.Context, d client.Decision) client.AttemptOutcome {
			ours.make("door", ours) // a new certificate under the same name
			change, err := l.PrepareReload(&config.Config{ExternalProcessor: x})
			if err != nil {
				t.Error(err)
				return client.AttemptOutcome{}
			}
			change()
			if o, err := ask(t, at, creds(ours, "edge"), "d", "hit"); err != nil || o.Kind != client.Satisfied {
				t.Errorf("%+v, %v", o, err)
			}
			return client.AttemptOutcome{Word: "hit", CreatedAt: time.Now()}
		}
		o, err := client.New(conn).Lookup(context.Background(), client.Request{Path: "/call/segment/o/part-1", Header: http.Header{"X-Job-Id": {"c"}}}, during)
		if err != nil || o.Kind != client.Satisfied {
			t.Errorf("%+v, %v", o, err)
		}
	})
	t.Run("a key that others may read is refused", func(t *testing.T) {
		os.Chmod(dir+"/door.key", 0o644)
		if _, err := l.PrepareReload(&config.Config{ExternalProcessor: x}); err == nil || !strings.Contains(err.Error(), "chmod 600") {
			t.Error(err)
		}
	})
}

// A caller that breaks its streams off over and over says nothing of the caches: another caller's lookups go where they went.
func TestBrokenOffStreamsBarNoCache(t *testing.T) {
	x := &config.ExternalProcessor{Listen: "unix:" + filepath.Join(t.TempDir(), "door")}
	l := listening(t, x)
	conn, err := grpc.NewClient(x.Listen, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	where := func(id string) string {
		o, err := ask(t, x.Listen, insecure.NewCredentials(), id, "hit")
		if err != nil || o.Kind != client.Satisfied {
			t.Fatalf("%+v, %v", o, err)
		}
		return o.Attempts[0].Cache
	}
	before := where("before")
	for i := range 12 {
		ctx, leave := context.WithCancel(context.Background())
		client.New(conn).Lookup(ctx, client.Request{Path: "/call/segment/o/part-1", Header: http.Header{"X-Job-Id": {fmt.Sprint("left", i)}}},
			func(context.Context, client.Decision) client.AttemptOutcome {
				leave()
				time.Sleep(5 * time.Millisecond)
				return client.AttemptOutcome{}
			})
	}
	for range 2000 {
		if l.Anomalies()["stream_ended_with_send"] == 12 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if after := where("after"); after != before || l.Anomalies()["stream_ended_with_send"] != 12 {
		t.Errorf("%s before, %s after, %v", before, after, l.Anomalies())
	}
}
