package entry

import (
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
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/settings"
)

// authority signs certificates for one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		Subject: pkix.Name{CommonName: "test authority"}, NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert: cert, key: key, dir: t.TempDir()}
}

// issue writes a certificate for a role and returns its files.
func (a *authority) issue(t *testing.T, name, role string) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotAfter: time.Now().Add(time.Hour),
		Subject:     pkix.Name{CommonName: name, OrganizationalUnit: []string{role}},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write := func(file, kind string, der []byte) string {
		path := filepath.Join(a.dir, file)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return settings.TLS{
		Cert: write(name+".crt", "CERTIFICATE", der), Key: write(name+".key", "EC PRIVATE KEY", raw),
		CA: write("ca.crt", "CERTIFICATE", a.cert.Raw),
	}
}

func (a *authority) load(t *testing.T, name, role string) *tlsConfigs {
	t.Helper()
	c, err := loadTLS(name, a.issue(t, name, role), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// connect makes one connection and returns the certificate that the server
// showed, or the error that the client saw.
func connect(server, client *tls.Config) (*x509.Certificate, error) {
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write([]byte("x"))
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := (&tls.Dialer{Config: client}).DialContext(ctx, "tcp", ln.Addr().String())
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return nil, err
	}
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0], nil
}

// A stranger, a certificate of another authority or of the wrong role must not
// get in, and a renewed certificate must be used without a restart.
func TestMutualTLS(t *testing.T) {
	Convey("connections need a certificate of the right authority and role", t, func() {
		a := newAuthority(t)
		one, two := a.load(t, "one", RoleHost), a.load(t, "two", RoleHost)
		operator := a.load(t, "op", RoleOperator)
		stranger := newAuthority(t).load(t, "stranger", RoleHost)

		_, err := connect(one.server, two.client)
		So(err, ShouldBeNil)
		_, err = connect(one.operator, operator.client)
		So(err, ShouldBeNil)
		_, err = connect(one.server, stranger.client)
		So(err, ShouldNotBeNil)
		_, err = connect(one.server, operator.client)
		So(err, ShouldNotBeNil)
		_, err = connect(one.operator, two.client)
		So(err, ShouldNotBeNil)
		_, err = connect(one.server, &tls.Config{InsecureSkipVerify: true})
		So(err, ShouldNotBeNil)

		before, err := connect(one.server, two.client)
		So(err, ShouldBeNil)
		one.files = a.issue(t, "one", RoleHost)
		one.reload()
		after, err := connect(one.server, two.client)
		So(err, ShouldBeNil)
		So(after.SerialNumber.Cmp(before.SerialNumber), ShouldNotEqual, 0)

		So(os.WriteFile(one.files.Cert, []byte("broken"), 0o600), ShouldBeNil)
		one.reload()
		still, err := connect(one.server, two.client)
		So(err, ShouldBeNil)
		So(still.SerialNumber.Cmp(after.SerialNumber), ShouldEqual, 0)
	})
}
