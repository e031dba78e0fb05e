package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/settings"
)

// devCertLifetime is the validity period of development certificates.
const devCertLifetime = 30 * 24 * time.Hour

// WriteDevCertificates creates a CA and one certificate per role in dir, for
// demos and tests. It writes ca.pem, entry.pem, entry-key.pem, agent.pem and
// agent-key.pem. The key of the CA is not stored.
func WriteDevCertificates(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create certificate directory")
	}
	caKey, ca, err := newDevCA(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return err
	}
	for _, role := range []string{RoleEntry, RoleAgent} {
		if err := newDevCertificate(dir, role, ca, caKey); err != nil {
			return err
		}
	}
	return nil
}

// DevFiles returns the paths that WriteDevCertificates uses for a role.
func DevFiles(dir, role string) settings.TLSFiles {
	return settings.TLSFiles{
		Certificate: filepath.Join(dir, role+".pem"),
		Key:         filepath.Join(dir, role+"-key.pem"),
		CA:          filepath.Join(dir, "ca.pem"),
	}
}

func newDevCA(file string) (*ecdsa.PrivateKey, *x509.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate CA key")
	}
	t := devTemplate("sesamelift development CA")
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "create CA certificate")
	}
	if err := writePEM(file, "CERTIFICATE", der); err != nil {
		return nil, nil, err
	}
	ca, err := x509.ParseCertificate(der)
	return key, ca, errors.Wrap(err, "parse CA certificate")
}

func newDevCertificate(dir, role string, ca *x509.Certificate, caKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	t := devTemplate(role)
	t.DNSNames = []string{role + roleDomain}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, ca, &key.PublicKey, caKey)
	if err != nil {
		return errors.Wrap(err, "create certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	f := DevFiles(dir, role)
	if err := writePEM(f.Certificate, "CERTIFICATE", der); err != nil {
		return err
	}
	return writePEM(f.Key, "EC PRIVATE KEY", keyDER)
}

func devTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(devCertLifetime),
	}
}

func writePEM(file, kind string, der []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(file, b, 0o600), "write PEM file")
}
