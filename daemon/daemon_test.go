package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/daemon"
	"geraniumstack.org/geraniumstack/daemon/settings"
	"geraniumstack.org/geraniumstack/standin/fleet"
	"geraniumstack.org/geraniumstack/standin/pipe"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/tlsreload"
)

const anyPort = "127.0.0.1:0"

// testSystem is a set of daemons and the stand-ins that they use.
type testSystem struct {
	network    *pipe.Network
	standins   *fleet.Fleet
	daemons    []*daemon.Daemon
	cancel     context.CancelFunc
	runResults chan error
}

// start runs n daemons against stand-ins, without any calls to the runners.
func start(t *testing.T, n int, source func() *tlsreload.Source) *testSystem {
	t.Helper()
	w := &testSystem{network: pipe.NewNetwork(), runResults: make(chan error, n)}
	s, err := fleet.Huaman()
	if err != nil {
		t.Fatal(err)
	}
	if w.standins, err = fleet.Start(s, fleet.Options{Network: w.network}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	w.cancel = cancel
	for i := range n {
		d, err := daemon.New(w.settings(i, source()), w.network)
		if err != nil {
			t.Fatal(err)
		}
		w.daemons = append(w.daemons, d)
		go func() { w.runResults <- d.Run(ctx) }()
	}
	return w
}

func (w *testSystem) settings(i int, source *tlsreload.Source) *settings.Settings {
	a := w.standins.Addresses()
	s := &settings.Settings{
		ID: ident.DaemonID(fmt.Sprintf("d%d", i)), FailureDomain: "lima-norte",
		Listen:   settings.Listen{Callers: anyPort, Peers: anyPort, Admin: anyPort},
		Platform: settings.Platform{KeyValue: a.KeyValue, VMList: a.VMList, Cloud: a.Cloud},
		TLS:      source,
	}
	for _, d := range w.daemons {
		s.Seeds = append(s.Seeds, d.Self().PeerAddress)
	}
	s.FillDefaults()
	return s
}

// stop stops the daemons and stand-ins and returns how long the graceful
// shutdown took.
func (w *testSystem) stop(t *testing.T) time.Duration {
	t.Helper()
	began := time.Now()
	w.cancel()
	for range w.daemons {
		if err := <-w.runResults; err != nil {
			t.Error(err)
		}
	}
	took := time.Since(began)
	w.standins.Close()
	return took
}

func (w *testSystem) get(url string) (int, string) {
	client := w.network.Client()
	defer client.CloseIdleConnections()
	resp, err := client.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

func noTLS() *tlsreload.Source { return nil }

// certificateAuthority issues certificates for the loopback address.
type certificateAuthority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  string
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	a := &certificateAuthority{}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.key = newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(der)
	a.pem = string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *certificateAuthority) source(t *testing.T) *tlsreload.Source {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return &tlsreload.Source{
		CertificatePEM: string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		KeyPEM:         string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8})),
		AuthoritiesPEM: a.pem,
	}
}

func TestProbesAndMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := start(t, 1, noTLS)
		time.Sleep(3 * time.Second)
		admin := "http://" + w.daemons[0].AdminAddress()
		code, _ := w.get(admin + "/healthz")
		is.Equal(code, http.StatusOK)
		code, text := w.get(admin + "/readyz")
		is.Equal(code, http.StatusServiceUnavailable) // no configuration yet
		is.Equal(text, "no configuration in force\n")
		code, _ = w.get(admin + "/metrics")
		is.Equal(code, http.StatusOK)
		w.stop(t)
	})
}

// A graceful shutdown with nothing to hand over must not use its whole grace
// period; otherwise every rollout would take that long.
func TestIdleShutdownEndsBeforeGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := start(t, 2, noTLS)
		time.Sleep(3 * time.Second)
		is.True(w.stop(t) < 10*time.Second)
	})
}

// Daemons must accept peer connections only from clients with a certificate of
// the configured authority, and must not speak plain HTTP; otherwise anyone on
// the network could connect to a daemon or read its traffic.
func TestPeersRequireTrustedCertificate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newCertificateAuthority(t)
		w := start(t, 2, func() *tlsreload.Source { return a.source(t) })
		time.Sleep(10 * time.Second)
		is.Equal(len(w.daemons[0].Control().Daemons()), 2)
		for _, d := range w.daemons[0].Control().Daemons() {
			is.Equal(string(d.State), "live")
		}
		code, _ := w.get("http://" + w.daemons[0].Self().PeerAddress + "/")
		is.True(code != http.StatusOK && code != http.StatusNotFound) // no plain HTTP
		conn, err := w.network.Dial(t.Context(), "tcp", w.daemons[0].Self().PeerAddress)
		is.NoErr(err)
		untrusted := tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
		_ = untrusted.HandshakeContext(t.Context())
		_, err = untrusted.Read(make([]byte, 1))
		is.True(err != nil) // a client without a certificate is rejected
		conn.Close()
		w.stop(t)
	})
}
