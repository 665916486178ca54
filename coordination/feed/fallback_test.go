package feed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/feed"
	"geraniumstack.org/geraniumstack/state/ident"
)

func TestFallback(t *testing.T) {
	is := is.New(t)
	sources := []ident.Incarnation{"a", "b", "c"}
	const second = time.Second
	var f feed.Fallback
	f.Update(1*second, false, false, sources)
	is.Equal(f.Source(1*second), ident.Incarnation(""))
	f.Update(2*second, true, false, sources)
	is.Equal(f.Source(2*second), ident.Incarnation("a"))
	f.Update(2*second+100*time.Millisecond, true, true, sources)
	is.Equal(f.Source(2*second+100*time.Millisecond), ident.Incarnation("a")) // it has not had time to answer
	f.Update(3*second, true, true, sources)
	is.Equal(f.Source(3*second), ident.Incarnation("b"))
	f.Update(4*second, true, false, sources)
	is.Equal(f.Source(4*second), ident.Incarnation("b")) // it has answered
	f.Update(8*second, false, false, sources)
	is.Equal(f.Source(9*second), ident.Incarnation("")) // the usual source has not failed since
	f.Update(10*second, false, true, sources)
	is.Equal(f.Source(10*second), ident.Incarnation("b")) // it has answered before
	f.Update(10*second, true, true, []ident.Incarnation{"a", "c"})
	is.Equal(f.Source(10*second), ident.Incarnation("a"))
	f.Update(11*second, true, true, nil)
	is.Equal(f.Source(11*second), ident.Incarnation(""))
}
