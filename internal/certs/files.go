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

// recheck is how often the files are read again, so that they can be renewed without a stop.
const recheck = 10 * time.Second

// ErrNoCA reports an authority file without a certificate.
var ErrNoCA = errors.New("no certificate in the authority file")

// Files are the PEM files of one host.
type Files struct {
	CA   string
	Cert string
	Key  string
}

// Source gives TLS settings for mutual authentication from files that may be renewed.
type Source struct {
	files Files
	alpn  string

	mu   sync.Mutex
	at   time.Time
	pool *x509.CertPool
	pair tls.Certificate
}

// NewSource returns a source for the application protocol, after reading the files once.
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

// NewStatic returns a source from PEM in memory.
func NewStatic(ca []byte, p Pair, alpn string) (*Source, error) {
	s := &Source{
		alpn: alpn,
	}
	if err := s.set(ca, p); err != nil {
		return nil, fmt.Errorf("take certificates: %w", err)
	}
	return s, nil
}

func (s *Source) load() error {
	ca, err := os.ReadFile(s.files.CA)
	if err != nil {
		return fmt.Errorf("read authority: %w", err)
	}
	cert, err := os.ReadFile(s.files.Cert)
	if err != nil {
		return fmt.Errorf("read certificate: %w", err)
	}
	key, err := os.ReadFile(s.files.Key)
	if err != nil {
		return fmt.Errorf("read key: %w", err)
	}
	return s.set(ca, Pair{
		Cert: cert,
		Key:  key,
	})
}

func (s *Source) set(ca []byte, p Pair) error {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return ErrNoCA
	}
	pair, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		return fmt.Errorf("read key pair: %w", err)
	}
	s.pool = pool
	s.pair = pair
	s.at = time.Now()
	return nil
}

// current reads the files again from time to time; files that cannot be read leave the last good ones in use.
func (s *Source) current() (*x509.CertPool, tls.Certificate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.files.CA != "" && time.Since(s.at) > recheck {
		s.at = time.Now()
		// A renewal in progress leaves files that do not match for a moment.
		_ = s.load()
	}
	return s.pool, s.pair
}

// Client returns settings for one outgoing connection.
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

// Server returns settings for incoming connections, each with the newest certificates.
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
