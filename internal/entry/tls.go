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

// Roles that a certificate names as its organizational unit. A certificate of
// an operator opens no peer connection, and that of a host changes nothing as
// an operator.
const (
	RoleHost     = "entry-host"
	RoleOperator = "operator"
)

// reloadInterval is the interval at which certificate files are looked at.
const reloadInterval = 5 * time.Second

// certificateExpiry holds, by host, the end of its certificate as a Unix time
// in seconds.
var certificateExpiry = expvar.NewMap("tls_certificate_expiry_unix_seconds")

// TLSError says which file of the TLS settings cannot be used.
type TLSError struct {
	File string
	Err  error
}

// Error implements error.
func (e *TLSError) Error() string { return "tls file " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Err }

// noCertificateError says that a file holds no certificate.
type noCertificateError struct{}

// Error implements error.
func (*noCertificateError) Error() string { return "no certificate in PEM form" }

// RoleError says that a peer's certificate does not name the needed role.
type RoleError struct {
	Required string
	Roles    []string
}

// Error implements error.
func (e *RoleError) Error() string { return "certificate does not name the role " + e.Required }

// identity is what the files hold at one time.
type identity struct {
	cert tls.Certificate
	ca   *x509.CertPool
	// seen are the modification times of the files.
	seen [3]time.Time
}

// tlsConfigs are the two sides of mutual TLS; nil without it. They use the
// files as they are at each handshake.
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
	t.use(id)
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
		id.seen[i] = info.ModTime()
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

func (t *tlsConfigs) use(id *identity) {
	t.current.Store(id)
	expiry := new(expvar.Int)
	expiry.Set(id.cert.Leaf.NotAfter.Unix())
	certificateExpiry.Set(t.host, expiry)
}

// serverConfig requires a client certificate of our authority with a role.
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

// clientConfig verifies the server by hand, because tls.Config has no way to
// replace RootCAs; InsecureSkipVerify only turns the built-in check off.
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

// Serve looks for new files until the context ends. Files that cannot be used
// leave the ones before in use.
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

// String names the duty.
func (t *tlsConfigs) String() string { return "tls-files" }

func (t *tlsConfigs) reload() {
	now := t.current.Load()
	if now == nil {
		return
	}
	changed := false
	for i, name := range []string{t.files.Cert, t.files.Key, t.files.CA} {
		if info, err := os.Stat(name); err != nil || !info.ModTime().Equal(now.seen[i]) {
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
	t.use(id)
	t.log.Info("certificates reloaded", "expires", id.cert.Leaf.NotAfter.UTC().Format(time.RFC3339))
}
