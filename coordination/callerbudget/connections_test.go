package callerbudget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/callerbudget"
)

// Guards against a crowd whose connections keep all others out, and against answers that are cut off for it.
func TestConnectionThatWaitsLongestWithoutRequestIsEnded(t *testing.T) {
	is := is.New(t)
	c := callerbudget.NewConnections(4)
	states := []callerbudget.State{callerbudget.Answering, callerbudget.Receiving, callerbudget.Idle, callerbudget.Unused}
	for i, s := range states {
		id := callerbudget.ID(i + 1)
		_, full := c.Add(time.Duration(i), id)
		is.True(!full)
		c.Set(time.Duration(i), id, s)
	}
	for i, expected := range []callerbudget.ID{4, 3, 2} {
		id := callerbudget.ID(10 + i)
		end, full := c.Add(time.Minute, id)
		is.True(full)
		is.Equal(end, expected)
		c.Remove(end)
		c.Set(time.Minute, id, callerbudget.Answering)
	}
	// All others wait for answers, so the new one is ended.
	end, full := c.Add(time.Minute, 20)
	is.True(full)
	is.Equal(end, callerbudget.ID(20))
}

// Guards against a new caller's connection that is ended before its request has come, while bodies stay unfinished.
func TestNewConnectionIsNotEndedForTheNext(t *testing.T) {
	is := is.New(t)
	c := callerbudget.NewConnections(3)
	for id := range callerbudget.ID(3) {
		c.Add(0, id+1)
		c.Set(0, id+1, callerbudget.Receiving)
	}
	for id := range callerbudget.ID(3) {
		end, full := c.Add(time.Minute, id+10)
		is.True(full)
		is.Equal(end, id+1)
		c.Remove(end)
	}
}

// Guards against a new caller's connection that is ended although older ones have brought no request either.
func TestOldestUnusedConnectionIsEnded(t *testing.T) {
	is := is.New(t)
	c := callerbudget.NewConnections(3)
	for id := range callerbudget.ID(20) {
		end, full := c.Add(time.Duration(id), id+1)
		is.Equal(full, id >= 3)
		if full {
			is.Equal(end, id-2)
			c.Remove(end)
		}
	}
}
