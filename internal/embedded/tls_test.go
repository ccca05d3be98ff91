package embedded

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
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/examples"
	"github.com/boragelock/boragelock/internal/entry"
	"github.com/boragelock/boragelock/internal/settings"
)

// writeCertificates writes a certificate authority and a certificate for
// 127.0.0.1.
func writeCertificates(t *testing.T) settings.TLS {
	t.Helper()
	dir := t.TempDir()
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		must(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	template := func(serial int64, ca bool) *x509.Certificate {
		return &x509.Certificate{
			SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test", OrganizationalUnit: []string{entry.RoleHost}},
			NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
			IsCA: ca, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
			KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(err)
	caTemplate := template(1, true)
	caDER, err := x509.CreateCertificate(rand.Reader, caTemplate, caTemplate, &caKey.PublicKey, caKey)
	must(err)
	certDER, err := x509.CreateCertificate(rand.Reader, template(2, false), caTemplate, &key.PublicKey, caKey)
	must(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must(err)
	return settings.TLS{
		CA: write("ca.pem", "CERTIFICATE", caDER), Cert: write("cert.pem", "CERTIFICATE", certDER),
		Key: write("key.pem", "EC PRIVATE KEY", keyDER),
	}
}

// TestMutualTLS guards against accepting internal requests from others than entry
// hosts: these requests carry no customer credential, so without mutual TLS anyone
// who reaches the port could send them.
func TestMutualTLS(t *testing.T) {
	files := writeCertificates(t)
	s, cancel, done := startSystem(t, func(x *settings.Settings) { x.TLS = files }, nil)
	Convey("hosts reach each other over TLS, and others are refused", t, func() {
		for i := range 20 {
			status, _, err := call(s, i%2, "POST", fmt.Sprintf("/v1/orders/key-%d", i), "body")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
		}
		forwardAddr := s.Hosts[0].Control().View().Self.HTTPAddr
		resp, err := http.Get("http://" + forwardAddr + "/internal/v1/ping")
		if err == nil {
			defer resp.Body.Close()
			So(resp.StatusCode, ShouldEqual, http.StatusBadRequest)
		}
		untrusted := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
		_, err = untrusted.Get("https://" + forwardAddr + "/internal/v1/ping")
		So(err, ShouldNotBeNil)
	})
	cancel()
	<-done
}

// TestLentRate guards against a host that is limited to its even share of a
// contract's rate: callers that the load balancer sends to few hosts would then
// be refused.
func TestLentRate(t *testing.T) {
	Convey("a host that has more than its even part of the calls borrows the rest", t, func() {
		d, err := examples.Load("toise")
		So(err, ShouldBeNil)
		d.Contracts = []contract.Contract{d.Contracts[0]}
		d.Contracts[0].RatePerSecond, d.Contracts[0].Burst = 200, 20
		s, err := New(Config{Deployment: d})
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx) }()
		limit, stop := context.WithTimeout(ctx, 15*time.Second)
		defer stop()
		So(s.Ready(limit), ShouldBeTrue)
		// One host receives 100 requests per second: its even share is 50, and it
		// can borrow up to 100.
		admitted, refused := 0, 0
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for n := range 400 {
			<-tick.C
			status, _, _ := call(s, 0, "GET", fmt.Sprintf("/v1/templates/k-%d", n), "")
			switch {
			case n < 100:
				// The first loan arrives within the first second.
			case status == http.StatusTooManyRequests:
				refused++
			default:
				admitted++
			}
		}
		So(refused, ShouldBeLessThan, 15)
		So(admitted, ShouldBeGreaterThan, 270)
		cancel()
		<-done
	})
}
