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

// testCA signs certificates for one test.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newTestCA(t *testing.T) *testCA {
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
	return &testCA{cert: cert, key: key, dir: t.TempDir()}
}

// issue writes a certificate for a role and returns its files.
func (a *testCA) issue(t *testing.T, name, role string) settings.TLS {
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

func (a *testCA) loadConfigs(t *testing.T, name, role string) *tlsConfigs {
	t.Helper()
	c, err := loadTLS(name, a.issue(t, name, role), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// connect opens one connection and returns the server's certificate, or the error
// on the client side.
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

// Guards against accepting connections without a certificate, or with one of
// another CA or the wrong role, and against renewed certificates that are used
// only after a restart.
func TestMutualTLS(t *testing.T) {
	Convey("connections need a certificate of the right authority and role", t, func() {
		a := newTestCA(t)
		host1, host2 := a.loadConfigs(t, "one", RoleHost), a.loadConfigs(t, "two", RoleHost)
		operator := a.loadConfigs(t, "op", RoleOperator)
		foreignHost := newTestCA(t).loadConfigs(t, "stranger", RoleHost)

		_, err := connect(host1.server, host2.client)
		So(err, ShouldBeNil)
		_, err = connect(host1.operator, operator.client)
		So(err, ShouldBeNil)
		_, err = connect(host1.server, foreignHost.client)
		So(err, ShouldNotBeNil)
		_, err = connect(host1.server, operator.client)
		So(err, ShouldNotBeNil)
		_, err = connect(host1.operator, host2.client)
		So(err, ShouldNotBeNil)
		_, err = connect(host1.server, &tls.Config{InsecureSkipVerify: true})
		So(err, ShouldNotBeNil)

		initial, err := connect(host1.server, host2.client)
		So(err, ShouldBeNil)
		host1.files = a.issue(t, "one", RoleHost)
		host1.reload()
		renewed, err := connect(host1.server, host2.client)
		So(err, ShouldBeNil)
		So(renewed.SerialNumber.Cmp(initial.SerialNumber), ShouldNotEqual, 0)

		So(os.WriteFile(host1.files.Cert, []byte("broken"), 0o600), ShouldBeNil)
		host1.reload()
		unchanged, err := connect(host1.server, host2.client)
		So(err, ShouldBeNil)
		So(unchanged.SerialNumber.Cmp(renewed.SerialNumber), ShouldEqual, 0)
	})
}
