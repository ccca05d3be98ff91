package main

import (
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"os"
	"slices"
)

// roleHost is the organizational unit in the certificate of an entry host.
const roleHost = "entry-host"

// RoleError reports a server certificate that is not that of an entry host.
type RoleError struct{ Units []string }

// Error implements error.
func (e *RoleError) Error() string {
	return fmt.Sprintf("server certificate has the organizational units %q, not %s", e.Units, roleHost)
}

// tlsFiles names the PEM files for mutual TLS. Either all of them are set or none.
type tlsFiles struct{ cert, key, ca string }

func (t *tlsFiles) define(fs *flag.FlagSet) {
	file := func(p *string, name, env, help string) {
		fs.StringVar(p, name, os.Getenv(env), help+" (default $"+env+")")
	}
	file(&t.cert, "tls-cert", "BORAGELOCK_TLS_CERT", "`FILE` with the operator's certificate for the role operator")
	file(&t.key, "tls-key", "BORAGELOCK_TLS_KEY", "`FILE` with the private key of the certificate")
	file(&t.ca, "tls-ca", "BORAGELOCK_TLS_CA", "`FILE` with the CA certificate that signs the entry hosts' certificates")
}

// config returns the TLS configuration, or nil when no files are set.
func (t *tlsFiles) config() (*tls.Config, error) {
	if cmp.Or(t.cert, t.key, t.ca) == "" {
		return nil, nil
	}
	if t.cert == "" || t.key == "" || t.ca == "" {
		return nil, &UsageError{Reason: "-tls-cert, -tls-key and -tls-ca must be given together"}
	}
	pair, err := tls.LoadX509KeyPair(t.cert, t.key)
	if err != nil {
		return nil, &UsageError{Reason: "-tls-cert, -tls-key: " + err.Error()}
	}
	pem, err := os.ReadFile(t.ca)
	if err != nil {
		return nil, &UsageError{Reason: "-tls-ca: " + err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &UsageError{Reason: "-tls-ca: no certificate in PEM form in " + t.ca}
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool,
		VerifyConnection: func(cs tls.ConnectionState) error {
			units := cs.PeerCertificates[0].Subject.OrganizationalUnit
			if !slices.Contains(units, roleHost) {
				return &RoleError{Units: units}
			}
			return nil
		},
	}, nil
}
