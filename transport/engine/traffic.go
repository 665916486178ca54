package engine

import (
	"context"
	"net/http"
)

const (
	// requestOverheadBytes is the request line without its path, and the headers that
	// net/http sends with a GET, on average.
	requestOverheadBytes = 110
	// packetOverheadBytes is the IP and TCP headers of a request, an answer and their
	// acknowledgements on a connection that stays open.
	packetOverheadBytes = 4 * 52
	// segmentBytes is the data of one TCP segment; each further one takes a
	// packet of its own, and half an acknowledgement.
	segmentBytes       = 1400
	extraSegmentBytes  = 52 + 26
	statusLineBytes    = 17
	headerLineOverhead = 4
)

// Traffic adds up what calls took on the network, both directions, with headers
// estimated; TLS is not counted. It is not safe for concurrent use.
type Traffic struct{ bytes int }

// Bytes is the sum so far.
func (t *Traffic) Bytes() int { return t.bytes }

// Add counts further bytes; stand-ins for a Client use it.
func (t *Traffic) Add(bytes int) {
	if t != nil {
		t.bytes += bytes
	}
}

func (t *Traffic) addExchange(response *http.Response, body int) {
	if t == nil {
		return
	}
	answer := statusLineBytes + body
	for name, values := range response.Header {
		for _, value := range values {
			answer += len(name) + len(value) + headerLineOverhead
		}
	}
	request := requestOverheadBytes + len(response.Request.URL.RequestURI())
	t.Add(request + answer + packetOverheadBytes + answer/segmentBytes*extraSegmentBytes)
}

type trafficKey struct{}

// WithTraffic returns a context whose unary calls are counted in t.
func WithTraffic(ctx context.Context, t *Traffic) context.Context {
	return context.WithValue(ctx, trafficKey{}, t)
}

// TrafficFromContext returns the context's Traffic; nil if there is none.
func TrafficFromContext(ctx context.Context) *Traffic {
	t, _ := ctx.Value(trafficKey{}).(*Traffic)
	return t
}
