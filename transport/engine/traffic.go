package engine

import (
	"context"
	"net/http"
)

const (
	// requestOverheadBytes is the average size of the request line without the path and of the
	// headers that net/http sends with a GET.
	requestOverheadBytes = 110
	// packetOverheadBytes is the size of the IP and TCP headers (52 bytes a packet) of four packets
	// on an open connection: a request, its answer and their acknowledgements.
	packetOverheadBytes = 4 * 52
	// segmentBytes is the assumed payload of one TCP segment.
	segmentBytes = 1400
	// extraSegmentBytes is the overhead of each segment of an answer after the first: 52 bytes of
	// IP and TCP headers, and half of a 52-byte acknowledgement, which serves two segments.
	extraSegmentBytes  = 52 + 26
	statusLineBytes    = 17
	headerLineOverhead = 4
)

// Traffic sums the network traffic of calls in both directions. Header sizes are estimated, and the
// overhead of TLS isn't included. Traffic is not safe for concurrent use.
type Traffic struct{ bytes int }

// Bytes returns the total number of bytes.
func (t *Traffic) Bytes() int { return t.bytes }

// Add adds bytes to the total. Test doubles of Client use it.
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

// WithTraffic returns a context whose calls, except Generate, are counted in t.
func WithTraffic(ctx context.Context, t *Traffic) context.Context {
	return context.WithValue(ctx, trafficKey{}, t)
}

// TrafficFromContext returns the context's Traffic, or nil if there is none.
func TrafficFromContext(ctx context.Context) *Traffic {
	t, _ := ctx.Value(trafficKey{}).(*Traffic)
	return t
}
