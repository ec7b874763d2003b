// Package certstest creates a certificate authority and certificates for the
// tests of other packages. All files are PEM files in the test's temporary
// directory.
package certstest

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
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Files holds the paths of the PEM files of a certificate, its key and its CA.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Authority is a certificate authority for one test.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

// NewAuthority returns an authority that writes its files to the test's temporary
// directory.
func NewAuthority(t *testing.T) *Authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	a := &Authority{key: key, dir: t.TempDir()}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.write(t, "ca.pem", a.cert, &key.PublicKey, nil)
	return a
}

// write signs a certificate and writes it to a file, and its key to a second file
// unless key is nil.
func (a *Authority) write(t *testing.T, name string, cert *x509.Certificate, pub *ecdsa.PublicKey, key *ecdsa.PrivateKey) {
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, pub, a.key)
	must.NoError(t, err)
	a.pem(t, name, "CERTIFICATE", der)
	if key != nil {
		der, err := x509.MarshalECPrivateKey(key)
		must.NoError(t, err)
		a.pem(t, name+".key", "EC PRIVATE KEY", der)
	}
}

func (a *Authority) pem(t *testing.T, name, kind string, der []byte) {
	must.NoError(t, os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// Issue writes a certificate signed by the authority and its key, and returns
// their paths.
func (a *Authority) Issue(t *testing.T, name string, serial int64) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	a.write(t, name, &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, &key.PublicKey, key)
	path := func(n string) string { return filepath.Join(a.dir, n) }
	return Files{Cert: path(name), Key: path(name + ".key"), CA: path("ca.pem")}
}
