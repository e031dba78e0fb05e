package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Roles of processes. A certificate carries the role as a DNS name, since hosts
// are known by IP numbers that change.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"

	roleDomain = ".sesamelift.internal"
)

// reloadEvery bounds how often the files of the credentials are looked at.
const reloadEvery = 5 * time.Second

// Files names the PEM files of a process.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
}

// Credentials holds the keys for mutual TLS and reloads them when the files
// change, so that keys are replaced without a restart. Safe for concurrent use.
type Credentials struct {
	files Files

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// LoadCredentials reads the files. It fails if one is missing or invalid.
func LoadCredentials(f Files) (*Credentials, error) {
	c := &Credentials{files: f}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.checked, c.changed = time.Now(), c.modified()
	return c, nil
}

func (c *Credentials) load() error {
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Wrap(err, "load certificate and key")
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return errors.Wrap(err, "load CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("file %q holds no CA certificate", c.files.CA)
	}
	c.cert, c.pool = &cert, pool
	return nil
}

func (c *Credentials) modified() time.Time {
	var latest time.Time
	for _, name := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the keys, reloaded if the files changed. If the new files are
// invalid, the old keys stay in use.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) >= reloadEvery {
		c.checked = now
		if m := c.modified(); m.After(c.changed) && c.load() == nil {
			c.changed = m
		}
	}
	return c.cert, c.pool
}

func (c *Credentials) client() *tls.Config {
	cert, pool := c.current()
	return &tls.Config{
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
		ServerName:   RoleEntry + roleDomain,
		NextProtos:   []string{alpn},
		MinVersion:   tls.VersionTLS13,
	}
}

func (c *Credentials) server() *tls.Config {
	build := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool := c.current()
		return &tls.Config{
			Certificates: []tls.Certificate{*cert},
			ClientCAs:    pool,
			ClientAuth:   tls.RequireAndVerifyClientCert,
			NextProtos:   []string{alpn},
			MinVersion:   tls.VersionTLS13,
		}, nil
	}
	config, _ := build(nil)
	config.GetConfigForClient = build
	return config
}

// checkRole verifies that the certificate of a peer carries the role that the
// peer claims.
func checkRole(state tls.ConnectionState, role string) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	if role != RoleEntry && role != RoleAgent {
		return errors.Errorf("unknown role %q", role)
	}
	if !slices.Contains(state.PeerCertificates[0].DNSNames, role+roleDomain) {
		return errors.Errorf("certificate does not carry the role %q", role)
	}
	return nil
}
