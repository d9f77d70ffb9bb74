package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Traffic counts what one target, or several with the same client, exchange
// with entries.
type Traffic struct {
	sent, received, requests atomic.Int64
}

// TrafficReport is a reading of Traffic.
type TrafficReport struct {
	// Sent and Received are bytes on the targets' connections to entries.
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	Requests int64 `json:"requests"`
}

// Report returns the counts so far.
func (t *Traffic) Report() TrafficReport {
	return TrafficReport{t.sent.Load(), t.received.Load(), t.requests.Load()}
}

// idleConnections is enough for a target and its instances to keep theirs.
const idleConnections = 64

// NewClient returns a client whose traffic is counted.
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
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}}}
}

type countedTransport struct {
	traffic *Traffic
	next    http.RoundTripper
}

func (c *countedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.traffic.requests.Add(1)
	return c.next.RoundTrip(r)
}

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
