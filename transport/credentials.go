package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/settings"
)

// Roles of processes. A certificate identifies a process by its role, in the form of
// a DNS name, and not by its IP address, since the addresses of hosts change.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"

	roleDomain = ".sesamelift.internal"
)

// reloadInterval is the minimum time between two checks of the files for changes.
const reloadInterval = 5 * time.Second

// Credentials holds the certificate, key and CA for mutual TLS. It reloads them
// when the files change, so that they can be rotated without a restart. It is safe
// for concurrent use.
type Credentials struct {
	files settings.TLSFiles

	mu            sync.Mutex
	lastCheck     time.Time
	loadedModTime time.Time
	cert          *tls.Certificate
	pool          *x509.CertPool
}

// LoadCredentials reads the files. It returns an error if one is missing or
// invalid.
func LoadCredentials(f settings.TLSFiles) (*Credentials, error) {
	c := &Credentials{files: f}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.lastCheck, c.loadedModTime = time.Now(), c.latestModTime()
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
		return errors.Errorf("file %q contains no CA certificate", c.files.CA)
	}
	c.cert, c.pool = &cert, pool
	return nil
}

func (c *Credentials) latestModTime() time.Time {
	var latest time.Time
	for _, name := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and the CA pool, reloaded if the files have
// changed. If the new files are invalid, the previous ones stay in use.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.lastCheck) >= reloadInterval {
		c.lastCheck = now
		if m := c.latestModTime(); m.After(c.loadedModTime) && c.load() == nil {
			c.loadedModTime = m
		}
	}
	return c.cert, c.pool
}

func (c *Credentials) clientConfig() *tls.Config {
	cert, pool := c.current()
	return &tls.Config{
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
		ServerName:   RoleEntry + roleDomain,
		NextProtos:   []string{alpn},
		MinVersion:   tls.VersionTLS13,
	}
}

func (c *Credentials) serverConfig() *tls.Config {
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
