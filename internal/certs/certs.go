// Package certs loads certificates for TLS from PEM files and reads them again
// when they change, so that a certificate is renewed without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"
)

// checkPeriod is the least time between two looks at the files.
const checkPeriod = time.Second

// ErrNoCA means that the CA file holds no certificate.
var ErrNoCA = errors.New("certs: no certificate in the CA file")

// Files name the PEM files of one certificate. CA may be empty.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Store holds the certificate as last read. It is safe for concurrent use.
type Store struct {
	files   Files
	log     *slog.Logger
	mu      sync.Mutex
	checked time.Time
	stamp   [3]time.Time // modification times as last read
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// Load reads the files. It fails if any of them cannot be used.
func Load(files Files, log *slog.Logger) (*Store, error) {
	s := &Store{files: files, log: log}
	stamp, err := s.stat()
	if err != nil {
		return nil, err
	}
	return s, s.read(stamp)
}

func (s *Store) stat() (stamp [3]time.Time, err error) {
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamp, fmt.Errorf("certs: %w", err)
		}
		stamp[i] = info.ModTime()
	}
	return stamp, nil
}

func (s *Store) read(stamp [3]time.Time) error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return fmt.Errorf("certs: %s: %w", s.files.Cert, err)
	}
	var pool *x509.CertPool
	if s.files.CA != "" {
		pem, err := os.ReadFile(s.files.CA)
		if err != nil {
			return fmt.Errorf("certs: %w", err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return fmt.Errorf("%w: %s", ErrNoCA, s.files.CA)
		}
	}
	s.cert, s.pool, s.stamp = &cert, pool, stamp
	return nil
}

// current returns the certificate and the CAs, read again if the files have
// changed. Files that cannot be used leave the former ones in force.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < checkPeriod {
		return s.cert, s.pool
	}
	s.checked = time.Now()
	stamp, err := s.stat()
	if err == nil && stamp != s.stamp {
		err = s.read(stamp)
	}
	if err != nil {
		s.log.Error("certificate not read again; the former stays in force", "error", err)
	}
	return s.cert, s.pool
}

// Server returns the configuration of a server. With a CA it asks callers for
// a certificate signed by it.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if pool != nil {
				c.ClientCAs, c.ClientAuth = pool, tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}
}

// Client returns the configuration of one connection to a peer. The peer's
// certificate must be signed by the CA; its name is not checked, since
// instances are known by IP addresses that change.
func (s *Store) Client() *tls.Config {
	cert, pool := s.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*cert},
		InsecureSkipVerify: true, // VerifyConnection checks the chain instead
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, pool)
		},
	}
}

func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return fmt.Errorf("certs: peer: %w", err)
	}
	return nil
}
