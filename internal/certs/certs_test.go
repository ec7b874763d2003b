package certs

import (
	"crypto/tls"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/certs/certstest"
	"github.com/shoenig/test/must"
)

// handshake connects a client to a server and returns the serial number of the
// server's certificate.
func handshake(t *testing.T, server, client *Store) (int64, error) {
	lis, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerConfig())
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
	conn, err := tls.Dial("tcp", lis.Addr().String(), client.ClientConfig())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func load(t *testing.T, files certstest.Files) *Store {
	s, err := Load(Files(files), slog.New(slog.DiscardHandler))
	must.NoError(t, err)
	return s
}

// TestMutualTLSRejectsForeignCA checks that a certificate of another CA is rejected
// by both the server and the client.
func TestMutualTLSRejectsForeignCA(t *testing.T) {
	own, other := certstest.NewAuthority(t), certstest.NewAuthority(t)
	server := load(t, own.Issue(t, "server.pem", 2))
	serial, err := handshake(t, server, load(t, own.Issue(t, "client.pem", 3)))
	must.NoError(t, err)
	must.Eq(t, 2, serial)
	foreign := load(t, other.Issue(t, "stranger.pem", 4))
	_, err = handshake(t, server, foreign)
	must.Error(t, err)
	_, err = handshake(t, foreign, server)
	must.Error(t, err)
}

// TestCertificateIsReloaded checks that a changed file takes effect and that an
// invalid one does not replace the loaded certificate.
func TestCertificateIsReloaded(t *testing.T) {
	ca := certstest.NewAuthority(t)
	files := ca.Issue(t, "server.pem", 2)
	server, client := load(t, files), load(t, ca.Issue(t, "client.pem", 3))
	ca.Issue(t, "server.pem", 5)
	later := time.Now().Add(time.Minute)
	must.NoError(t, os.Chtimes(files.Cert, later, later))
	serial, err := handshake(t, server, client)
	must.NoError(t, err)
	must.Eq(t, 5, serial)

	must.NoError(t, os.WriteFile(files.Cert, []byte("broken"), 0o600))
	server.lastCheck = time.Time{}
	serial, err = handshake(t, server, client)
	must.NoError(t, err)
	must.Eq(t, 5, serial, must.Sprint("an invalid file replaced the loaded certificate"))
}
