package cellapi

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against Refused for a call that may have been carried out, if the settings name no
// control process any more when the call is to be repeated.
func TestClientKeepsUnknownWithoutAddress(t *testing.T) {
	var c *Client
	silent, _ := startServer(t, func(ctx context.Context) *Reply {
		c.SetSeeds(nil)
		<-ctx.Done()
		return &Reply{}
	})
	c = NewClient([]string{silent}, nil, discardLogger)
	r := c.Do(contextWithTimeout(t, 5*time.Second), statusCall)
	assert.Assert(t, r.Refused == "" && r.Unknown != "", "%+v", r)
}
