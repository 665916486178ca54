package tlsreload_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/transport/tlsreload"
)

// newCertificate returns a self-signed certificate with the given serial number, and its key.
func newCertificate(t *testing.T, serial int64) (certificate, key string) {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(100 * 365 * 24 * time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	encoded, err := x509.MarshalECPrivateKey(private)
	is.NoErr(err)
	certificate = string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	return certificate, string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}))
}

// presentedSerial returns the serial number of the certificate that a new connection presents.
func presentedSerial(t *testing.T, server, client *tls.Config) int64 {
	t.Helper()
	is := is.New(t)
	clientConn, serverConn := net.Pipe()
	go func() { _ = tls.Server(serverConn, server).Handshake() }()
	connection := tls.Client(clientConn, client)
	is.NoErr(connection.Handshake())
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// The certificate files of a running daemon are replaced one after the other. New connections must
// neither fail in between nor get the old, soon expired certificate until the daemon is restarted.
func TestCertificateIsReplacedWithoutRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dir := t.TempDir()
		source := tlsreload.Source{
			CertificateFile: filepath.Join(dir, "tls.crt"), KeyFile: filepath.Join(dir, "tls.key"),
		}
		certificate, key := newCertificate(t, 1)
		is.NoErr(os.WriteFile(source.CertificateFile, []byte(certificate), 0o600))
		is.NoErr(os.WriteFile(source.KeyFile, []byte(key), 0o600))
		r, err := tlsreload.New(source)
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx, tlsreload.DefaultInterval)
		server, client := r.ServerConfig(), &tls.Config{InsecureSkipVerify: true}
		is.Equal(presentedSerial(t, server, client), int64(1))

		certificate, key = newCertificate(t, 2)
		is.NoErr(os.WriteFile(source.CertificateFile, []byte(certificate), 0o600))
		time.Sleep(tlsreload.DefaultInterval + time.Second)
		is.Equal(presentedSerial(t, server, client), int64(1)) // the key file still belongs to the old certificate
		is.NoErr(os.WriteFile(source.KeyFile, []byte(key), 0o600))
		time.Sleep(tlsreload.DefaultInterval + time.Second)
		is.Equal(presentedSerial(t, server, client), int64(2))
	})
}

func TestDaemonsVerifyEachOther(t *testing.T) {
	is := is.New(t)
	certificate, key := newCertificate(t, 7)
	r, err := tlsreload.New(tlsreload.Source{CertificatePEM: certificate, KeyPEM: key, AuthoritiesPEM: certificate})
	is.NoErr(err)
	client := r.ClientConfig()
	client.ServerName = "127.0.0.1"
	is.Equal(presentedSerial(t, r.ServerConfig(), client), int64(7))
}

func TestInvalidSource(t *testing.T) {
	is := is.New(t)
	certificate, _ := newCertificate(t, 1)
	_, key := newCertificate(t, 2)
	for _, source := range []tlsreload.Source{
		{}, {CertificatePEM: certificate, KeyPEM: key},
		{CertificateFile: "absent"}, {AuthoritiesPEM: "none"},
	} {
		_, err := tlsreload.New(source)
		var sourceErr *tlsreload.SourceError
		is.True(errors.As(err, &sourceErr))
	}
}
