package models_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/daemon/models"
)

// Guards against a shutdown that lasts its whole grace period although all
// requests have been answered. The only daemon that is left keeps finished
// answers for late readers, and no other daemon can take them.
func TestDrainOfLastDaemonReturnsEarly(t *testing.T) {
	runCluster(t, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(1)
		r := g.request("chat", 5)
		is.NoErr(g.Submit(t.Context(), r))
		readAll(t, g, r, 0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		var incomplete *models.DrainIncompleteError
		is.True(errors.As(g.Drain(ctx), &incomplete))
		is.Equal(incomplete.Remaining, 1)
		is.True(time.Since(began) < 5*time.Second)
	})
}
