package main

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// writeSelfSigned writes a self-signed certificate and its key.
func writeSelfSigned(t *testing.T, unit string) tlsFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	So(err, ShouldBeNil)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		Subject:     pkix.Name{CommonName: unit, OrganizationalUnit: []string{unit}},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	So(err, ShouldBeNil)
	raw, err := x509.MarshalECPrivateKey(key)
	So(err, ShouldBeNil)
	f := tlsFiles{cert: filepath.Join(t.TempDir(), "c.pem"), key: filepath.Join(t.TempDir(), "k.pem")}
	So(os.WriteFile(f.cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600), ShouldBeNil)
	So(os.WriteFile(f.key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), 0o600), ShouldBeNil)
	f.ca = f.cert
	return f
}

// TestServerRole guards against sending an operator's changes to a server that is
// not an entry host.
func TestServerRole(t *testing.T) {
	Convey("only a server of the role entry-host is used", t, func() {
		for unit, want := range map[string]int{roleHost: exitOK, "operator": exitFailed} {
			f := writeSelfSigned(t, unit)
			pair, err := tls.LoadX509KeyPair(f.cert, f.key)
			So(err, ShouldBeNil)
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
			srv.TLS = &tls.Config{Certificates: []tls.Certificate{pair}, ClientAuth: tls.RequireAnyClientCert}
			srv.StartTLS()
			var out, errs bytes.Buffer
			e := &env{ctx: context.Background(), stdout: &out, stderr: &errs}
			args := []string{"status", "-entry", srv.Listener.Addr().String(), "-tls-cert", f.cert, "-tls-key", f.key, "-tls-ca", f.ca}
			So(run(e, args), ShouldEqual, want)
			So(run(e, args[:5]), ShouldEqual, exitUsage)
			srv.Close()
		}
	})
}
