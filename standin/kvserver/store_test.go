package kvserver

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/transport/kv"
)

func TestCompareAndSwapOverHTTP(t *testing.T) {
	is := is.New(t)
	s := New()
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	// The time that a call may take is tested in package kv.
	c := kv.NewHTTPClient(server.URL, server.Client(), kv.WithCallTimeout(time.Minute))
	ctx := context.Background()

	first, err := c.CompareAndSwap(ctx, "a/1", 0, []byte("x"), 0)
	is.NoErr(err)
	_, err = c.CompareAndSwap(ctx, "a/1", 0, []byte("y"), 0)
	var conflict *kv.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, kv.Entry{Key: "a/1", Value: []byte("x"), Revision: first})
	_, err = c.CompareAndSwap(ctx, "big", 0, make([]byte, MaxValueBytes+1), 0)
	var tooLarge *kv.TooLargeError
	is.True(errors.As(err, &tooLarge))
	is.Equal(tooLarge.Limit, MaxValueBytes)
	_, err = c.CompareAndSwap(ctx, "full", 0, make([]byte, MaxValueBytes), 0)
	is.NoErr(err)
	absent, err := c.Get(ctx, "a/2")
	is.NoErr(err)
	is.Equal(absent.Revision, kv.Revision(0))
	listed, err := c.List(ctx, "a/", "", 10)
	is.NoErr(err)
	is.Equal(len(listed), 1)
	is.Equal(s.Calls().Writes(), 4)
	is.Equal(s.Calls().Reads(), 2)
}

func TestLeaseLapseRemovesKeysAndWakesWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New()
		ctx := context.Background()
		lease, err := s.Grant(ctx, 10*time.Second)
		is.NoErr(err)
		revision, err := s.CompareAndSwap(ctx, "owner", 0, []byte("me"), lease)
		is.NoErr(err)
		time.Sleep(9 * time.Second)
		is.NoErr(s.KeepAlive(ctx, lease))
		start := time.Now()
		events, _, err := s.Watch(ctx, "owner", revision, time.Minute)
		is.NoErr(err)
		is.Equal(time.Since(start), 10*time.Second)
		is.Equal(len(events), 1)
		is.True(events[0].Deleted)
		var expired *kv.LeaseExpiredError
		is.True(errors.As(s.KeepAlive(ctx, lease), &expired))
		next, err := s.Grant(ctx, time.Second)
		is.NoErr(err)
		is.True(next > lease)
		s.Close()
	})
}

// A write takes effect but its response is lost with the connection. The
// writer sees an unavailable service, and must find its own value when it
// reads the key. The client must not retry the write by itself.
func TestLostAnswerKeepsEffect(t *testing.T) {
	is := is.New(t)
	s := New()
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := kv.NewHTTPClient(server.URL, server.Client())
	ctx := context.Background()
	s.SetFaults(Faults{LoseAnswers: 1, LosePrefix: "head"})

	_, err := c.CompareAndSwap(ctx, "other", 0, []byte("x"), 0)
	is.NoErr(err)
	_, err = c.CompareAndSwap(ctx, "head", 0, []byte("mine"), 0)
	var unavailable *kv.UnavailableError
	is.True(errors.As(err, &unavailable))
	e, err := c.Get(ctx, "head")
	is.NoErr(err)
	is.Equal(string(e.Value), "mine")
	is.Equal(s.Calls()[CallCompareAndSwap], 2) // the client did not retry
}

// The connection of a waiting watch loses its state in the network, and a
// change comes after that. The watch must stay silent until its caller's
// timeout, even though the fault is removed; a new watch must return the
// change at once.
func TestSilentWatchStaysSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		gaveUp := make(chan error)
		go func() {
			_, _, err := s.Watch(ctx, "", 0, 10*time.Second)
			gaveUp <- err
		}()
		synctest.Wait()
		s.SetFaults(Faults{SilentWatches: true})
		synctest.Wait()
		s.SetFaults(Faults{})
		_, err := s.CompareAndSwap(context.Background(), "head", 0, nil, 0)
		is.NoErr(err)
		var unavailable *kv.UnavailableError
		is.True(errors.As(<-gaveUp, &unavailable))
		events, _, err := s.Watch(context.Background(), "", 0, time.Second)
		is.NoErr(err)
		is.Equal(len(events), 1)
	})
}

func TestCompactedWatchOverHTTP(t *testing.T) {
	is := is.New(t)
	s := New()
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := kv.NewHTTPClient(server.URL, server.Client())
	ctx := context.Background()
	_, err := c.CompareAndSwap(ctx, "a", 0, nil, 0)
	is.NoErr(err)
	s.Compact()
	_, _, err = c.Watch(ctx, "", 0, time.Second)
	var compacted *kv.CompactedError
	is.True(errors.As(err, &compacted))
	is.Equal(*compacted, kv.CompactedError{Oldest: 1, Current: 1})
	events, revision, err := c.Watch(ctx, "", compacted.Current, 0)
	is.NoErr(err)
	is.Equal(len(events), 0)
	is.Equal(revision, kv.Revision(1))
}

func TestOutageAndDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New()
		ctx := context.Background()
		s.SetFaults(Faults{Outage: true})
		var down *OutageError
		_, err := s.CompareAndSwap(ctx, "a", 0, nil, 0)
		is.True(errors.As(err, &down))
		s.SetFaults(Faults{DelayMillis: 700})
		start := time.Now()
		e, err := s.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(e.Revision, kv.Revision(0))
		is.Equal(time.Since(start), 700*time.Millisecond)
	})
}

func TestHistoryIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	s := New()
	value := make([]byte, MaxValueBytes)
	revision := kv.Revision(0)
	var err error
	for range 2 * maxHistoryBytes / MaxValueBytes {
		revision, err = s.CompareAndSwap(context.Background(), "a", revision, value, 0)
		is.NoErr(err)
	}
	is.True(s.historyBytes <= maxHistoryBytes)
	_, _, err = s.Watch(context.Background(), "", 0, 0)
	var compacted *kv.CompactedError
	is.True(errors.As(err, &compacted))
}

func TestLimitsMakeCallsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New()
		s.SetLimits(Limits{WritesPerSecond: 100})
		ctx := context.Background()
		start := time.Now()
		for i := range 110 {
			_, err := s.CompareAndSwap(ctx, "a", kv.Revision(i), nil, 0)
			is.NoErr(err)
			_, err = s.Get(ctx, "a")
			is.NoErr(err)
		}
		took := time.Since(start)
		is.True(took >= 990*time.Millisecond && took <= 1010*time.Millisecond) // ten calls pass at once as a burst
		is.True(s.Peak().Writes >= 100)
		is.Equal(s.Calls().Reads(), 110)
	})
}
