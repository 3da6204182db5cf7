package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// reloadInterval is the minimum time between two reads of the files. Reloading allows certificates to be renewed without a restart.
const reloadInterval = 10 * time.Second

// ErrNoCA is returned if the authority file contains no certificate.
var ErrNoCA = errors.New("no certificate in the authority file")

// Files names the PEM files of one host: the certificate of the authority, and the certificate and key of the host.
type Files struct {
	CA   string
	Cert string
	Key  string
}

// Source creates TLS configurations for mutual authentication. It reloads its files, so that they can be renewed while the process runs.
type Source struct {
	files Files
	alpn  string

	mu         sync.Mutex
	lastLoadAt time.Time
	pool       *x509.CertPool
	pair       tls.Certificate
}

// NewSource reads the files and returns a source whose configurations negotiate the ALPN protocol.
func NewSource(files Files, alpn string) (*Source, error) {
	s := &Source{
		files: files,
		alpn:  alpn,
	}
	if err := s.load(); err != nil {
		return nil, fmt.Errorf("load certificates: %w", err)
	}
	return s, nil
}

// NewStaticSource returns a source with certificates from memory. They are never reloaded.
func NewStaticSource(ca []byte, p Pair, alpn string) (*Source, error) {
	s := &Source{
		alpn: alpn,
	}
	if err := s.parse(ca, p); err != nil {
		return nil, fmt.Errorf("parse certificates: %w", err)
	}
	return s, nil
}

func (s *Source) load() error {
	ca, err := os.ReadFile(s.files.CA)
	if err != nil {
		return fmt.Errorf("read authority certificate: %w", err)
	}
	cert, err := os.ReadFile(s.files.Cert)
	if err != nil {
		return fmt.Errorf("read certificate: %w", err)
	}
	key, err := os.ReadFile(s.files.Key)
	if err != nil {
		return fmt.Errorf("read key: %w", err)
	}
	return s.parse(ca, Pair{
		Cert: cert,
		Key:  key,
	})
}

func (s *Source) parse(ca []byte, p Pair) error {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return ErrNoCA
	}
	pair, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		return fmt.Errorf("parse certificate and key: %w", err)
	}
	s.pool = pool
	s.pair = pair
	s.lastLoadAt = time.Now()
	return nil
}

// current returns the certificates in use. It reloads the files after reloadInterval. If reloading fails, the certificates loaded last stay in use.
func (s *Source) current() (*x509.CertPool, tls.Certificate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.files.CA != "" && time.Since(s.lastLoadAt) > reloadInterval {
		s.lastLoadAt = time.Now()
		// The error is ignored: while the files are being renewed, certificate and key may not match for a moment.
		_ = s.load()
	}
	return s.pool, s.pair
}

// Client returns the configuration for one outgoing connection. The certificates in it are not renewed, so Client must be called again for each connection.
func (s *Source) Client() *tls.Config {
	pool, pair := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		RootCAs:      pool,
		Certificates: []tls.Certificate{pair},
		ServerName:   PeerName,
		NextProtos:   []string{s.alpn},
	}
}

// Server returns the configuration for a listener. Each incoming connection uses the certificates current at its handshake.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{s.alpn},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pool, pair := s.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				ClientCAs:    pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				Certificates: []tls.Certificate{pair},
				NextProtos:   []string{s.alpn},
			}, nil
		},
	}
}
