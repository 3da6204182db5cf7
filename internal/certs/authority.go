package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// PeerName is the DNS name in the certificate of every entry host. Clients verify this name instead of the host name.
const PeerName = "peer.cornelwing.internal"

const (
	validity = 365 * 24 * time.Hour
	// maxClockSkew is how far a certificate is backdated, so that hosts with slow clocks accept it.
	maxClockSkew = time.Hour
	// serialBits is the length of the random serial number.
	serialBits = 120
	dirMode    = 0o755
	fileMode   = 0o600
)

// Authority is a certificate authority that signs the certificates of entry hosts.
type Authority struct {
	cert *x509.Certificate
	der  []byte
	key  *ecdsa.PrivateKey
}

// Pair holds a certificate and its private key in PEM format.
type Pair struct {
	Cert []byte
	Key  []byte
}

// NewAuthority returns an authority with a new private key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	tmpl, err := template("cornelwing authority")
	if err != nil {
		return nil, fmt.Errorf("create authority certificate: %w", err)
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign authority certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	return &Authority{
		cert: cert,
		der:  der,
		key:  key,
	}, nil
}

// PEM returns the authority's certificate in PEM format.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{
		Type:  "CERTIFICATE",
		Bytes: a.der,
	})
}

// Issue returns a new key and certificate for the entry host, valid for one year.
func (a *Authority) Issue(host string) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("generate key: %w", err)
	}
	tmpl, err := template(host)
	if err != nil {
		return Pair{}, fmt.Errorf("create certificate: %w", err)
	}
	tmpl.DNSNames = []string{PeerName}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, fmt.Errorf("sign certificate: %w", err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("encode key: %w", err)
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{
			Type:  "CERTIFICATE",
			Bytes: der,
		}),
		Key: pem.EncodeToMemory(&pem.Block{
			Type:  "PRIVATE KEY",
			Bytes: raw,
		}),
	}, nil
}

// Write creates an authority and a certificate and key for each host. It writes the files ca.pem, HOST.pem and HOST.key to the directory.
func Write(dir string, hosts []string) error {
	a, err := NewAuthority()
	if err != nil {
		return fmt.Errorf("create authority: %w", err)
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("create certificate directory: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "ca.pem"), a.PEM(), fileMode); err != nil {
		return fmt.Errorf("write authority certificate: %w", err)
	}
	for _, h := range hosts {
		p, err := a.Issue(h)
		if err != nil {
			return fmt.Errorf("issue certificate of %s: %w", h, err)
		}
		if err := os.WriteFile(filepath.Join(dir, h+".pem"), p.Cert, fileMode); err != nil {
			return fmt.Errorf("write certificate of %s: %w", h, err)
		}
		if err := os.WriteFile(filepath.Join(dir, h+".key"), p.Key, fileMode); err != nil {
			return fmt.Errorf("write key of %s: %w", h, err)
		}
	}
	return nil
}

func template(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject: pkix.Name{
			CommonName: name,
		},
		NotBefore: now.Add(-maxClockSkew),
		NotAfter:  now.Add(validity),
	}, nil
}
