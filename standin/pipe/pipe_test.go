package pipe

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The connection of one client becomes silent after it was established: it
// stays open at both ends and nothing arrives any more. Its request must get
// no response, while a second client is served over a new connection.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := NewNetwork()
		l, err := n.Listen("server:80")
		is.NoErr(err)
		served := 0
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			served++
			time.Sleep(time.Hour)
			io.WriteString(w, "done")
		})}
		go server.Serve(l)
		get := func(c *http.Client) error {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Hour)
			defer cancel()
			r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://server:80/", nil)
			response, err := c.Do(r)
			if err != nil {
				return err
			}
			return response.Body.Close()
		}
		first, second := n.Client(), n.Client()
		failed := make(chan error)
		go func() { failed <- get(first) }()
		synctest.Wait()
		is.Equal(n.Silence("server:80"), 1)
		is.NoErr(get(second))
		is.True(<-failed != nil)
		is.Equal(served, 2)
		first.CloseIdleConnections()
		second.CloseIdleConnections()
		server.Close()
	})
}

func TestNothingListens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := NewNetwork()
		_, err := n.Client().Get("http://nobody:80/")
		is.True(err != nil)
	})
}
