package cellapi

import "net/http"

// SetTransport replaces the transport of a client.
func (c *Client) SetTransport(t http.RoundTripper) { c.http = &http.Client{Transport: t} }
