package entry

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/boragelock/boragelock/internal/settings"
)

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

// tlsConfigs are the two sides of mutual TLS; nil without it.
type tlsConfigs struct{ server, client *tls.Config }

func loadTLS(s settings.TLS) (*tlsConfigs, error) {
	if s.Cert == "" {
		return &tlsConfigs{}, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
	if err != nil {
		return nil, &TLSError{File: s.Cert, Err: err}
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, &TLSError{File: s.CA, Err: err}
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(pem) {
		return nil, &TLSError{File: s.CA, Err: &noCertificateError{}}
	}
	certs := []tls.Certificate{cert}
	return &tlsConfigs{
		server: &tls.Config{Certificates: certs, ClientCAs: ca, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13},
		client: &tls.Config{Certificates: certs, RootCAs: ca, MinVersion: tls.VersionTLS13},
	}, nil
}
