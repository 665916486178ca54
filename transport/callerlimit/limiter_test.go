package callerlimit_test

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/transport/callerlimit"
)

const limit = 1 << 20

// openBody is a body of which bytes arrive, and then nothing until it is closed or its time is over.
func openBody(arrived int, closed <-chan struct{}) io.Reader {
	return io.MultiReader(bytes.NewReader(make([]byte, arrived)), readerFunc(func([]byte) (int, error) {
		select {
		case <-closed:
		case <-time.After(openTime):
		}
		return 0, os.ErrDeadlineExceeded
	}))
}

const openTime = time.Minute

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against bodies that are changed, or taken for whole or cut, where their pieces end.
func TestBodiesAreReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, 4095, 4096, 4097, 100_000} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i * 7)
		}
		for _, length := range []int64{-1, int64(size)} {
			for _, reader := range []io.Reader{bytes.NewReader(body), iotest.OneByteReader(bytes.NewReader(body)), iotest.DataErrReader(bytes.NewReader(body))} {
				is := is.New(t)
				r := callerlimit.NewRequests(limit).Begin(nil)
				read, err := r.ReadBody(reader, length, time.Now().Add(time.Minute))
				is.NoErr(err)
				is.True(bytes.Equal(read.Bytes(), body))
			}
		}
	}
	r := callerlimit.NewRequests(limit).Begin(nil)
	_, err := r.ReadBody(io.MultiReader(bytes.NewReader(make([]byte, 9000)), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, time.Now().Add(time.Minute))
	is.New(t).True(errors.Is(err, io.ErrUnexpectedEOF))
}

// Guards against a crowd of unfinished bodies beside which no other is read.
func TestBodyIsReadBesideUnfinishedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := callerlimit.NewRequests(limit)
		const crowd = 40
		results := make(chan error, crowd)
		for range crowd {
			closed := make(chan struct{})
			r := l.Begin(func(callerlimit.Ended) { close(closed) })
			go func() {
				defer r.Release()
				_, err := r.ReadBody(openBody(200<<10, closed), -1, time.Now().Add(openTime))
				results <- err
			}()
		}
		synctest.Wait()
		time.Sleep(time.Second)
		r := l.Begin(func(callerlimit.Ended) { t.Error("the ordinary request is ended") })
		start := time.Now()
		_, err := r.ReadBody(bytes.NewReader(make([]byte, 10_000)), -1, time.Now().Add(time.Minute))
		is.NoErr(err)
		is.Equal(time.Since(start), time.Duration(0))
		is.True(r.Whole())
		r.Release()
		used, most := l.Usage()
		is.True(used <= most)
		for len(results) > 0 {
			var ended *callerlimit.EndedError
			is.True(errors.As(<-results, &ended))
		}
		time.Sleep(2 * openTime) // the others end
	})
}

// Guards against a request that waits for room for longer than anybody waits for it.
func TestWaitForRoomEndsWithTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := callerlimit.NewRequests(limit)
		// It has been told to end, and doesn't.
		stuck := l.Begin(func(callerlimit.Ended) {})
		is.NoErr(stuck.Grow(limit/2, time.Now().Add(time.Second)))
		time.Sleep(time.Minute)
		r := l.Begin(nil)
		start := time.Now()
		err := r.Grow(limit/4, start.Add(time.Second))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(time.Since(start), time.Second)
	})
}
