package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// authority signs certificates for one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	a := &authority{key: key, dir: t.TempDir()}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.write(t, "ca.pem", a.cert, &key.PublicKey, nil)
	return a
}

// write signs a certificate; with its key the two make a pair of files.
func (a *authority) write(t *testing.T, name string, cert *x509.Certificate, pub *ecdsa.PublicKey, key *ecdsa.PrivateKey) {
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, pub, a.key)
	must.NoError(t, err)
	a.pem(t, name, "CERTIFICATE", der)
	if key != nil {
		der, err := x509.MarshalECPrivateKey(key)
		must.NoError(t, err)
		a.pem(t, name+".key", "EC PRIVATE KEY", der)
	}
}

func (a *authority) pem(t *testing.T, name, kind string, der []byte) {
	must.NoError(t, os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func (a *authority) issue(t *testing.T, name string, serial int64) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	a.write(t, name, &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, &key.PublicKey, key)
	path := func(n string) string { return filepath.Join(a.dir, n) }
	return Files{Cert: path(name), Key: path(name + ".key"), CA: path("ca.pem")}
}

// handshake returns the serial number that the client sees of the server.
func handshake(t *testing.T, server, client *Store) (int64, error) {
	lis, err := tls.Listen("tcp", "127.0.0.1:0", server.Server())
	must.NoError(t, err)
	defer lis.Close()
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte{1})
	}()
	conn, err := tls.Dial("tcp", lis.Addr().String(), client.Client())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func load(t *testing.T, files Files) *Store {
	s, err := Load(files, slog.New(slog.DiscardHandler))
	must.NoError(t, err)
	return s
}

func TestMutualAndStrangersAreRefused(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	server := load(t, own.issue(t, "server.pem", 2))
	serial, err := handshake(t, server, load(t, own.issue(t, "client.pem", 3)))
	must.NoError(t, err)
	must.Eq(t, 2, serial)
	stranger := load(t, other.issue(t, "stranger.pem", 4))
	_, err = handshake(t, server, stranger)
	must.Error(t, err)
	_, err = handshake(t, stranger, server)
	must.Error(t, err)
}

func TestCertificateIsReadAgain(t *testing.T) {
	ca := newAuthority(t)
	files := ca.issue(t, "server.pem", 2)
	server, client := load(t, files), load(t, ca.issue(t, "client.pem", 3))
	ca.issue(t, "server.pem", 5)
	later := time.Now().Add(time.Minute)
	must.NoError(t, os.Chtimes(files.Cert, later, later))
	serial, err := handshake(t, server, client)
	must.NoError(t, err)
	must.Eq(t, 5, serial)

	must.NoError(t, os.WriteFile(files.Cert, []byte("broken"), 0o600))
	server.checked = time.Time{}
	serial, err = handshake(t, server, client)
	must.NoError(t, err)
	must.Eq(t, 5, serial, must.Sprint("a broken file replaced the certificate in force"))
}
