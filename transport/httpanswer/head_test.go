package httpanswer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"
)

// readAnswer reads one final answer, and returns its status, header and body.
func readAnswer(r io.Reader) (*http.Response, []byte, error) {
	heads := NewHeadReader(r, maxHeadBytes)
	heads.Expect(nil)
	in := bufio.NewReader(heads)
	for {
		response, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode >= minFinalStatus {
			body, err := io.ReadAll(response.Body)
			return response, body, err
		}
	}
}

// Guards against heads that are taken or refused by the pieces in which they arrive.
func TestPiecesDontMatter(t *testing.T) {
	const wholeAnswer = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n c\r\nContent-Length: 4\r\n\r\nbody"
	for name, r := range map[string]func(io.Reader) io.Reader{
		"one byte": iotest.OneByteReader, "half": iotest.HalfReader, "error beside data": iotest.DataErrReader, "whole": func(r io.Reader) io.Reader { return r },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, body, err := readAnswer(r(bytes.NewReader([]byte(wholeAnswer))))
			is.NoErr(err)
			is.Equal(response.Header.Get("X-A"), "b c")
			is.Equal(string(body), "body")
			_, _, err = readAnswer(r(bytes.NewReader([]byte("HTTP/1.1 200 OK\r\nX-A : b\r\nContent-Length: 4\r\n\r\nbody"))))
			var refused *Error
			is.True(errors.As(err, &refused))
			is.Equal(refused.Kind, BadFieldName)
		})
	}
}

// Guards against a head that is refused only once all of it has arrived, while its runner holds the rest back.
func TestFirstLineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	go func() { _, _ = io.WriteString(w, "HTTP/1.1 000 Oops\r\n") }()
	_, _, err := readAnswer(r)
	var refused *Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.Kind, BadStatus)
}

// Guards against bytes that net/http takes for an answer although they are none, and heads that are read differently here and there.
func FuzzHeadReader(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody", "HTTP/1.1 103 \r\n\r\nHTTP/1.1 200\r\nX : y\r\n\r\n", "HTTP/1.1 +20 \n\n", "HTTP/1.1 200 OK\nA:b\n c\n\nbody",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		is := is.New(t)
		response, body, err := readAnswer(bytes.NewReader(data))
		inPieces, bodyInPieces, errInPieces := readAnswer(iotest.OneByteReader(bytes.NewReader(data)))
		is.Equal(err == nil, errInPieces == nil)
		if err != nil {
			return
		}
		is.Equal(response.StatusCode, inPieces.StatusCode)
		is.Equal(string(body), string(bodyInPieces))
		is.True(response.StatusCode >= 200 && response.StatusCode <= 599)
		for name := range response.Header {
			is.True(httpguts.ValidHeaderFieldName(name))
		}
		is.True(bytes.Contains(data, body) || len(response.TransferEncoding) > 0)
		is.True(response.ProtoMinor > 0 || response.ProtoMajor == 1 && !bytes.Contains(bytes.ToLower(data[:len(data)-len(body)]), []byte("\ntransfer-encoding:")))
	})
}
