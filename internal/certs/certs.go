// Package certs loads TLS certificates from PEM files and reloads them when the
// files change, so that a certificate can be renewed without a restart. A Store
// provides TLS configurations for servers and for clients.
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

// minCheckInterval is the shortest interval between two checks of the files for
// changes.
const minCheckInterval = time.Second

// ErrNoCA means that the CA file contains no certificate.
var ErrNoCA = errors.New("certs: no certificate in the CA file")

// Files holds the paths of the PEM files of one certificate. CA may be empty.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Store holds the certificate and the CAs as last loaded. It is safe for
// concurrent use.
type Store struct {
	files     Files
	log       *slog.Logger
	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time // modification times of the files as last loaded
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// Load returns a Store with the content of the files. It fails if any of them is
// missing or invalid.
func Load(files Files, log *slog.Logger) (*Store, error) {
	s := &Store{files: files, log: log}
	modTimes, err := s.readModTimes()
	if err != nil {
		return nil, err
	}
	return s, s.read(modTimes)
}

// readModTimes returns the modification times of the files; that of a file
// without a path is zero.
func (s *Store) readModTimes() (modTimes [3]time.Time, err error) {
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, fmt.Errorf("certs: %w", err)
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

// read loads the files and stores their content if all of them are valid.
func (s *Store) read(modTimes [3]time.Time) error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return fmt.Errorf("certs: loading key pair %s: %w", s.files.Cert, err)
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
	s.cert, s.pool, s.modTimes = &cert, pool, modTimes
	return nil
}

// current returns the certificate and the CAs, after reloading them if the files
// have changed. If the files cannot be loaded, the previous ones stay in use.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastCheck) < minCheckInterval {
		return s.cert, s.pool
	}
	s.lastCheck = time.Now()
	modTimes, err := s.readModTimes()
	if err == nil && modTimes != s.modTimes {
		err = s.read(modTimes)
	}
	if err != nil {
		s.log.Error("certificate not read again; the former stays in force", "error", err)
	}
	return s.cert, s.pool
}

// ServerConfig returns a TLS configuration for a server. With a CA it requires
// client certificates signed by that CA.
func (s *Store) ServerConfig() *tls.Config {
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

// ClientConfig returns a TLS configuration for one connection to a peer. The peer's
// certificate must be signed by the CA. Its name is not checked, since instances
// are addressed by IP addresses that change.
func (s *Store) ClientConfig() *tls.Config {
	cert, pool := s.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*cert},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain instead
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeerChain(state, pool)
		},
	}
}

// verifyPeerChain verifies the peer's certificate chain against the CAs in pool.
func verifyPeerChain(state tls.ConnectionState, pool *x509.CertPool) error {
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return fmt.Errorf("certs: verifying the peer's certificate: %w", err)
	}
	return nil
}
