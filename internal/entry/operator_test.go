package entry

import (
	"context"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
)

// Propose applies a change to the configuration of the fake, which RenewConfig does not
// return.
func (c *fakeControl) Propose(_ context.Context, r *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	return &peerv1.ProposeResponse{Result: c.change(r.Command)}, nil
}

func (c *fakeControl) change(command *statev1.FleetCommand) *statev1.FleetResult {
	b, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	return c.configuration.Apply(c.index, b).(*statev1.FleetResult)
}

// withdraw withdraws a key through the first entry.
func (c *cell) withdraw(id string) error {
	client := apiv1connect.NewOperatorServiceClient(c.entries[0].client, "http://"+c.entries[0].public.Address())
	r := connect.NewRequest(&apiv1.WithdrawKeyRequest{KeyId: id, OperationId: newID()})
	r.Header().Set("Authorization", "Bearer "+testOperatorKey)
	_, err := client.WithdrawKey(context.Background(), r)
	return err
}

// Guards against a change that is answered as refused although an earlier try of the same
// change arrives later and is carried out.
func TestLateChangeIsNotRefused(t *testing.T) {
	c := newCell(t, idempotent, "a")
	assert.Equal(t, connect.CodeOf(c.withdraw("k")), connect.CodeAborted)
	c.control.setFaults("Propose", deliveredLate, delivered)
	err := c.withdraw("k")
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnknown, "%v", err)
	assert.Assert(t, strings.Contains(err.Error(), "outcome unknown"), err)
	grant := &statev1.GrantKey{KeyId: "k", Team: "t", Hash: []byte("hash")}
	result := c.control.change(&statev1.FleetCommand{Command: &statev1.FleetCommand_GrantKey{GrantKey: grant}})
	assert.Equal(t, result.Refusal, "")
	c.control.releaseLate()
	waitFor(t, func() bool { return c.control.configuration.Key("k").Withdrawn })
}
