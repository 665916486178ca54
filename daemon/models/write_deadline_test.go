package models_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	requestv1 "geraniumstack.org/geraniumstack/gen/geranium/request/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/request/v1/requestv1connect"
)

// writeOnlyTransport writes each request to one connection and never reads a
// response.
type writeOnlyTransport struct{ conn net.Conn }

func (r writeOnlyTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	return nil, req.Write(r.conn)
}

// Guards against a memory leak: when a reader's gateway disappears without
// closing its connection, the stream to it stays open and its writes block.
// Each write must fail within SilenceTimeout.
func TestStreamToStalledReaderTimesOut(t *testing.T) {
	runCluster(t, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		r := g.request("chat", 3000)
		is.NoErr(g.Submit(t.Context(), r))
		clientConn, serverConn := net.Pipe()
		defer clientConn.Close()
		closed := make(chan struct{})
		_, handler := g.Handler()
		server := &http.Server{Handler: handler, ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateClosed {
				close(closed)
			}
		}}
		l := &connListener{conns: make(chan net.Conn, 1)}
		l.conns <- serverConn
		go func() { _ = server.Serve(l) }()
		client := requestv1connect.NewRequestServiceClient(&http.Client{Transport: writeOnlyTransport{clientConn}}, "http://"+g.address)
		stream, err := client.Read(t.Context(), connect.NewRequest(&requestv1.ReadRequest{
			RequestId: string(r.ID), Workspace: string(workspace),
		}))
		if err == nil {
			stream.Receive()
		}
		select {
		case <-closed:
		case <-time.After(3 * silence):
			t.Error("the stream is still open although its reader does not read")
			clientConn.Close()
		}
		close(l.conns)
		server.Close()
	})
}

// connListener is a net.Listener that accepts the connections sent to its
// channel.
type connListener struct{ conns chan net.Conn }

func (l *connListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}
func (l *connListener) Close() error   { return nil }
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }
