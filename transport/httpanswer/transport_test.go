package httpanswer_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/transport/httpanswer"
)

// cutAnswer is an answer of which a server sends a part before it ends the connection.
type cutAnswer struct {
	framing string
	body    string
	sent    int
	reset   bool
	pause   time.Duration
}

func (a *cutAnswer) bytes() string {
	head := "HTTP/1.1 200 OK\r\nX-A: b\r\n"
	switch a.framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(a.body), a.body)
	case "chunks":
		chunks := "0\r\n\r\n"
		if a.body != "" {
			chunks = fmt.Sprintf("%x\r\n%s\r\n%s", len(a.body), a.body, chunks)
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks
	}
	return head + "\r\n" + a.body
}

// serveOnce reads the head of a request, and sends what is sent of the answer.
func (a *cutAnswer) serveOnce(l net.Listener) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, a.bytes()[:a.sent])
	time.Sleep(a.pause)
	tcp := conn.(*net.TCPConn)
	if a.reset {
		_ = tcp.SetLinger(0)
		return
	}
	_ = tcp.CloseWrite()
	_, _ = io.Copy(io.Discard, request.Body)
}

// post sends a request and returns the body of the answer.
func post(client *http.Client, address string, size int) ([]byte, error) {
	response, err := client.Post("http://"+address+"/", "text/plain", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

// Guards against a part of an answer that is taken for the whole, wherever and however its connection ends.
func TestCutAnswerIsNeverWhole(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a := &cutAnswer{
			framing: rapid.SampledFrom([]string{"length", "chunks", "connection"}).Draw(t, "framing"),
			body:    strings.Repeat("b", rapid.SampledFrom([]int{0, 1, 10, 10_000}).Draw(t, "body")),
			reset:   rapid.Bool().Draw(t, "reset"),
			pause:   time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Millisecond,
		}
		a.sent = rapid.IntRange(0, len(a.bytes())).Draw(t, "sent")
		size := rapid.SampledFrom([]int{0, 1000, 1 << 20}).Draw(t, "upload")
		served := make(chan struct{})
		go func() { a.serveOnce(l); close(served) }()
		client := &http.Client{Transport: httpanswer.NewTransport(&http.Transport{DisableKeepAlives: true})}
		got, err := post(client, l.Addr().String(), size)
		<-served
		whole := a.sent == len(a.bytes())
		switch {
		case a.framing == "connection" && a.reset:
			is.True(err != nil)
		case a.framing == "connection":
			// Only the runner itself knows that it has more to say.
			is.True(err != nil || bytes.HasSuffix([]byte(a.bytes()[:a.sent]), got))
		case whole && !a.reset:
			is.NoErr(err)
			is.Equal(string(got), a.body)
		default:
			is.True(err != nil || whole && string(got) == a.body)
		}
	})
}

// Guards against answers that are refused, by a client that nobody tells of it.
func TestRefusedAnswerIsTold(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	transport := httpanswer.NewTransport(&http.Transport{})
	var told []httpanswer.Kind
	transport.Refused = func(e *httpanswer.Error) { told = append(told, e.Kind) }
	a := &cutAnswer{framing: "connection", body: "part", sent: len("HTTP/1.1 200 OK\r\nX-A: b\r\n\r\npart"), reset: true, pause: 20 * time.Millisecond}
	go a.serveOnce(l)
	_, err = post(&http.Client{Transport: transport}, l.Addr().String(), 4<<20)
	var refused *httpanswer.Error
	if errors.As(err, &refused) {
		is.Equal(told, []httpanswer.Kind{httpanswer.Reset})
	}
	is.True(err != nil)
}
