package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Traffic counts the requests and bytes that targets exchange with entries through
// one HTTP client.
type Traffic struct {
	sent, received, requests atomic.Int64
}

// TrafficReport holds the counts of a Traffic.
type TrafficReport struct {
	// Sent and Received are bytes on the targets' connections to entries.
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	// Requests is the number of requests sent to entries.
	Requests int64 `json:"requests"`
}

// Report returns the counts so far.
func (t *Traffic) Report() TrafficReport {
	return TrafficReport{t.sent.Load(), t.received.Load(), t.requests.Load()}
}

// maxIdleConnectionsPerHost is large enough for a target and its instances to keep
// their connections open.
const maxIdleConnectionsPerHost = 64

// NewClient returns an HTTP client whose traffic is counted in t.
func NewClient(t *Traffic) *http.Client {
	dialer := &net.Dialer{}
	return &http.Client{Transport: &countedTransport{t, &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{c, t}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnectionsPerHost,
		DisableCompression:  true,
	}}}
}

// countedTransport counts requests.
type countedTransport struct {
	traffic *Traffic
	next    http.RoundTripper
}

func (c *countedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.traffic.requests.Add(1)
	return c.next.RoundTrip(r)
}

// countedConn counts the bytes read and written.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
