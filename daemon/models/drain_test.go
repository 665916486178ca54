package models_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/daemon/models"
)

// The last daemon is stopped when all requests have been answered. What it still
// has are answers for readers that come late, and nobody to give them to. The
// operator's stop must not take its whole grace for that.
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
