package site

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a runner that serves waiting requests in another order than an engine does, or more at once
// than it has slots.
func TestWaitingRequestsAreServedByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &capacity{slots: 1}
		c.acquire(http.Header{})
		var served []string
		for _, name := range []string{"5 first", "2 first", "5 second", "0 first", "2 second"} {
			go func() {
				c.acquire(http.Header{"X-Request-Priority": {name[:1]}})
				served = append(served, name)
				c.release()
			}()
			synctest.Wait()
		}
		is.Equal(len(served), 0) // the only slot is taken
		c.release()
		synctest.Wait()
		is.Equal(served, []string{"0 first", "2 first", "2 second", "5 first", "5 second"})
		c.acquire(http.Header{"X-Request-Priority": {strconv.Itoa(9)}}) // the slot is free again
	})
}

// Guards against a slow runner that serves as fast as the others.
func TestTimeFactorScalesWork(t *testing.T) {
	is := is.New(t)
	r := &Runner{}
	is.Equal(r.capacity.scaled(time.Second), time.Second)
	r.SetTimeFactor(2)
	is.Equal(r.capacity.scaled(time.Second), 2*time.Second)
}
