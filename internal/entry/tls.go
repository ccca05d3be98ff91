package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/boragelock/boragelock/internal/settings"
)

// Roles that a certificate names as its organizational unit. An operator's
// certificate is refused on peer connections, and a host's certificate is refused
// by the operator interface.
const (
	RoleHost     = "entry-host"
	RoleOperator = "operator"
)

// reloadInterval is how often the certificate files are checked for changes.
const reloadInterval = 5 * time.Second

// certificateExpiry holds, by host, the expiry of its certificate as a Unix time
// in seconds.
var certificateExpiry = expvar.NewMap("tls_certificate_expiry_unix_seconds")

// TLSError reports which file of the TLS settings cannot be used.
type TLSError struct {
	File string
	Err  error
}

// Error implements error.
func (e *TLSError) Error() string { return "tls file " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Err }

// noCertificateError reports that a file contains no certificate.
type noCertificateError struct{}

// Error implements error.
func (*noCertificateError) Error() string { return "no certificate in PEM form" }

// RoleError reports that a peer's certificate does not name the required role.
type RoleError struct {
	Required string
	Roles    []string
}

// Error implements error.
func (e *RoleError) Error() string { return "certificate does not name the role " + e.Required }

// identity is the contents of the certificate files at one time.
type identity struct {
	cert tls.Certificate
	ca   *x509.CertPool
	// modTimes are the modification times of the certificate, key and CA files.
	modTimes [3]time.Time
}

// tlsConfigs holds the configurations of mutual TLS, which are nil when TLS is
// off. Each handshake uses the files as last loaded.
type tlsConfigs struct {
	server, operator, client *tls.Config

	host    string
	files   settings.TLS
	log     hclog.Logger
	current atomic.Pointer[identity]
}

func loadTLS(host string, s settings.TLS, log hclog.Logger) (*tlsConfigs, error) {
	t := &tlsConfigs{host: host, files: s, log: log}
	if s.Cert == "" {
		return t, nil
	}
	id, err := readIdentity(s)
	if err != nil {
		return nil, err
	}
	t.setIdentity(id)
	t.server, t.operator, t.client = t.serverConfig(RoleHost), t.serverConfig(RoleOperator), t.clientConfig()
	return t, nil
}

func readIdentity(s settings.TLS) (*identity, error) {
	id := &identity{ca: x509.NewCertPool()}
	for i, name := range []string{s.Cert, s.Key, s.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return nil, &TLSError{File: name, Err: err}
		}
		id.modTimes[i] = info.ModTime()
	}
	var err error
	if id.cert, err = tls.LoadX509KeyPair(s.Cert, s.Key); err != nil {
		return nil, &TLSError{File: s.Cert, Err: err}
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, &TLSError{File: s.CA, Err: err}
	}
	if !id.ca.AppendCertsFromPEM(pem) {
		return nil, &TLSError{File: s.CA, Err: &noCertificateError{}}
	}
	return id, nil
}

func (t *tlsConfigs) setIdentity(id *identity) {
	t.current.Store(id)
	expiry := new(expvar.Int)
	expiry.Set(id.cert.Leaf.NotAfter.Unix())
	certificateExpiry.Set(t.host, expiry)
}

// serverConfig requires a client certificate with a role, issued by the
// configured CA.
func (t *tlsConfigs) serverConfig(role string) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		id := t.current.Load()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{id.cert},
			ClientCAs: id.ca, ClientAuth: tls.RequireAndVerifyClientCert,
			VerifyConnection: func(cs tls.ConnectionState) error { return requireRole(cs.PeerCertificates[0], role) },
		}, nil
	}
	return base
}

// clientConfig verifies the server in VerifyConnection, because tls.Config has no
// way to replace RootCAs; InsecureSkipVerify only disables the built-in check.
func (t *tlsConfigs) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &t.current.Load().cert, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			opts := x509.VerifyOptions{Roots: t.current.Load().ca, DNSName: cs.ServerName, Intermediates: x509.NewCertPool()}
			for _, c := range cs.PeerCertificates[1:] {
				opts.Intermediates.AddCert(c)
			}
			if _, err := cs.PeerCertificates[0].Verify(opts); err != nil {
				return err
			}
			return requireRole(cs.PeerCertificates[0], RoleHost)
		},
	}
}

func requireRole(c *x509.Certificate, role string) error {
	if slices.Contains(c.Subject.OrganizationalUnit, role) {
		return nil
	}
	return &RoleError{Required: role, Roles: c.Subject.OrganizationalUnit}
}

// Serve reloads changed files until the context ends. When the new files cannot
// be used, the previous ones remain in use.
func (t *tlsConfigs) Serve(ctx context.Context) error {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			t.reload()
		}
	}
}

// String returns the name of the service for logs.
func (t *tlsConfigs) String() string { return "tls-files" }

func (t *tlsConfigs) reload() {
	current := t.current.Load()
	if current == nil {
		return
	}
	changed := false
	for i, name := range []string{t.files.Cert, t.files.Key, t.files.CA} {
		if info, err := os.Stat(name); err != nil || !info.ModTime().Equal(current.modTimes[i]) {
			changed = true
		}
	}
	if !changed {
		return
	}
	id, err := readIdentity(t.files)
	if err != nil {
		t.log.Warn("certificates not reloaded", "error", err)
		return
	}
	t.setIdentity(id)
	t.log.Info("certificates reloaded", "expires", id.cert.Leaf.NotAfter.UTC().Format(time.RFC3339))
}
