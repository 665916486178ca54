package models_test

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/daemon/models"
	requestv1 "geraniumstack.org/geraniumstack/gen/geranium/request/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/request/v1/requestv1connect"
	"geraniumstack.org/geraniumstack/standin/engine"
)

// readFirstResponse sends a read to a gateway as another gateway does that has
// received the tokens known from an earlier owner, and returns the first
// message.
func (c *cluster) readFirstResponse(t *testing.T, g *gateway, id string, known []string) (first *requestv1.ReadResponse) {
	t.Helper()
	client := c.Client()
	defer client.CloseIdleConnections()
	s, err := requestv1connect.NewRequestServiceClient(client, "http://"+g.address).Read(t.Context(), connect.NewRequest(&requestv1.ReadRequest{
		RequestId: id, Workspace: string(workspace), Offset: int32(len(known)), Known: known,
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if !s.Receive() {
		t.Fatal(s.Err())
	}
	return s.Msg()
}

// Guards against a caller that reads parts of two different answers: the owner
// from which it read is gone, and the new owner generated different tokens at
// the same offsets. This caller must be refused, while other readers are
// served.
func TestReaderWithDivergedTokensIsRefused(t *testing.T) {
	runCluster(t, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		r := g.request("chat", 100)
		is.NoErr(g.Submit(t.Context(), r))
		time.Sleep(time.Second)
		m := c.readFirstResponse(t, g, string(r.ID), []string{"of", "another"})
		is.Equal(m.Refused, string(models.AnswerDiverged))
		readAll(t, g, r, 0)
	})
}

// Readers of the old owner have received more tokens than its record keeper
// knew. The new owner must adopt their tokens and drop the tokens that its own
// attempt generates for the same offsets.
func TestNewOwnerAdoptsTokensOfReader(t *testing.T) {
	runCluster(t, 1, func(t *testing.T, c *cluster) {
		is := is.New(t)
		g := c.startGateway(0)
		r := g.request("chat", 100)
		is.NoErr(g.Submit(t.Context(), r))
		time.Sleep(time.Second)
		known := engine.Tokens(r.Model, r.Prompt, 90)
		m := c.readFirstResponse(t, g, string(r.ID), known)
		is.Equal(m.Refused, "")
		readAll(t, g, r, 0)
		is.Equal(g.counter("stream.dropped.conflict"), int64(0))
	})
}
