package crowd_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/gen/geranium/delegation/v1/delegationv1connect"
	"geraniumstack.org/geraniumstack/transport/peerhttp"
)

const (
	peerPort = 17600
	// callBytes is the stated size of the message of a call, and unsentBytes what is never sent of it.
	callBytes, unsentBytes = 15 << 20, 64 << 10
)

// Guards against calls at the port of the daemons that stay unfinished, each with megabytes.
func TestUnfinishedCallsOfDaemonsStayWithinMemory(t *testing.T) {
	const calls = 40
	d := startDeployment(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var calling, sent sync.WaitGroup
	sent.Add(calls)
	for range calls {
		body, w := io.Pipe()
		done := sync.OnceFunc(sent.Done)
		calling.Go(func() { call(ctx, d, body) })
		go func() {
			// A call that isn't read stays with what it has sent.
			defer time.AfterFunc(sendWithin, done).Stop()
			defer done()
			sendUnfinished(w)
		}()
	}
	sent.Wait()
	d.checkAnswered("answered beside the calls", ordinaryBody)
	cancel()
	calling.Wait()
	d.checkAnswered("answered in calm again", largestBody)
	d.checkUsage()
	d.stop()
}

// call makes a call over a connection of its own.
func call(ctx context.Context, d *deployment, body *io.PipeReader) {
	defer body.Close()
	transport := peerhttp.NewTransport(peerhttp.Dial)
	defer transport.CloseIdleConnections()
	url := fmt.Sprintf("http://%s:%d%s", d.IP, peerPort, delegationv1connect.DelegationServiceServeProcedure)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/connect+proto")
	answer, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	answer.Body.Close()
}

// sendUnfinished sends a message but for its last bytes.
func sendUnfinished(w io.Writer) {
	// The envelope has no flags.
	if _, err := w.Write(binary.BigEndian.AppendUint32([]byte{0}, callBytes)); err != nil {
		return
	}
	for left := callBytes - unsentBytes; left > 0; {
		n, err := w.Write(plain[:min(left, len(plain))])
		if err != nil {
			return
		}
		left -= n
	}
}
